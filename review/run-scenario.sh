#!/usr/bin/env bash
# Runs one scenario for the run.sh beside a case: run-scenario.sh NAME CASE_FOLDER
set -u
cd "$(dirname "$0")/.."
binary=target/packages/daemon/limpetwoodd
scenario=target/review/scenario
if [ ! -x "$binary" ] || [ ! -x "$scenario" ]; then
  echo "not built: $binary or $scenario" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
calm=
[ "${TROUBLE:-1}" = 0 ] && calm=--calm
timeout -k 2 115 "$scenario" "$1" --binary "$PWD/$binary" --folder "$folder" \
  --record "$2/record.txt" $calm
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
