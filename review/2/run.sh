#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-scenario.sh" leave "$here"
