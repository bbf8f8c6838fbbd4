// Divides the file descriptors of a control instance among its connections.
//
// Load pattern: hundreds of workers, entry instances and operators connect to
// the leader at once, as after an election. Without shares, whoever comes first
// takes all descriptors, and the group's own traffic or a read of the
// configuration fails to connect. Each server closes connections above its
// share at once, and an order above the share of the workers is not sent.

#pragma once

#include <cstdint>

namespace limpetwood::fleetd {

struct FileBudget
{
  // Connections of other instances to the request server.
  uint32_t requestConnections = 0;
  // Connections of workers and operators to the control server.
  uint32_t controlConnections = 0;
  // Connections to workers.
  uint32_t workerConnections = 0;
};

// Descriptors for the log, replication, metrics and files.
inline constexpr uint32_t kReservedFiles = 256;

constexpr FileBudget
DivideFiles(uint32_t aOpenFiles)
{
  uint32_t files =
    aOpenFiles > kReservedFiles ? aOpenFiles - kReservedFiles : 0;
  // Three tenths, three tenths and the rest.
  FileBudget out;
  out.requestConnections = files * 3 / 10;
  out.controlConnections = files * 3 / 10;
  out.workerConnections =
    files - out.requestConnections - out.controlConnections;
  return out;
}

} // namespace limpetwood::fleetd
