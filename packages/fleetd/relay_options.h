// Options of a relay and of its discovery of the leader.

#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetwood::fleetd {

struct RelayOptions
{
  // Port of every instance's request server.
  uint16_t port = 0;
  // Address of this instance, if it has a request server; empty otherwise.
  std::string self{};
  // Interval between pings of the leader; a quarter of it while no leader is
  // known.
  Millis pingInterval = Millis(400);
  Millis pingTimeout = Millis(400);
  // A leader that has answered nothing for this long is given up at the next
  // failed ping or attempt.
  Millis maxLeaderSilence = Millis(700);
  // Timeout of a single attempt of a request.
  Millis attemptTimeout = Millis(1200);
  // How long a request that is known not to have run waits for a new leader;
  // about the duration of one election.
  Millis leaderWaitTimeout = Millis(1200);
  // If the last contact with a leader is longer ago than this, requests that
  // are known not to have run are refused without waiting.
  Millis outageThreshold = Millis(1500);
  // Reports of workers wait for an attempt until a random time in this interval
  // before their deadline. A worker calls the next instance as soon as it is
  // refused, so refusals at the same time, or without a wait, multiply the
  // calls while there is no leader.
  Millis reportSpread = Millis(200);
  // Maximum number of requests in flight, each of which uses a connection to
  // the leader; reports of workers use at most three quarters. Further requests
  // wait like those without a leader.
  size_t maxInFlight = 64;
  // Retries at the same leader that each fresh request allows, and the maximum
  // number that can be saved up.
  double retryShare = 0.2;
  double maxSavedRetries = 20;
};

} // namespace limpetwood::fleetd
