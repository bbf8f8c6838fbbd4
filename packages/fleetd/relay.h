// Discovers the fleet's leader and forwards requests to it.
//
//   Relay relay(ioc, options, log);
//   relay.Start(seeds);
//   relay.Call(request, deadline, [](RelayResult aResult) {});
//
// The relay pings the seeds and the instances that replies name until one of
// them reports that it leads. All requests are safe to retry, because jobs and
// configurations carry their own identity. If the leader changes while a
// request is in flight, the request is also sent to the new leader. If an
// attempt of a request that changes state got no answer, the request is retried
// until its deadline and never ends with an outcome that rules out its
// execution.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/log_event.h"
#include "base/time.h"
#include "fleet/codec.h"
#include "fleet/request.h"
#include "http/pooled_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleetd {

struct RelayOptions
{
  // Port of every instance's request server.
  uint16_t port = 0;
  Millis pingInterval = Millis(400);
  Millis pingTimeout = Millis(400);
  // Timeout of a single attempt of a request.
  Millis attemptTimeout = Millis(1200);
  // How long a request that is known not to have run waits for a new leader;
  // about the duration of one election.
  Millis leaderWaitTimeout = Millis(1200);
  // If the last contact with a leader is longer ago than this, requests that
  // are known not to have run are refused without waiting.
  Millis outageThreshold = Millis(1500);
};

struct RelayCounters
{
  uint64_t calls = 0;
  uint64_t retriesNotLeader = 0;
  uint64_t retriesNotSent = 0;
  uint64_t retriesNoAnswer = 0;
  // Retries because the leader changed while an attempt was in flight.
  uint64_t retriesLeaderChanged = 0;
  uint64_t refusedNoLeader = 0;
  uint64_t leaderChanges = 0;
};

// The outcome of a request, and the leader contact that it is based on.
struct RelayResult
{
  fleet::gen::Reply reply{};
  // 0 if the request was refused without an attempt.
  uint32_t attempts = 0;
  // The known leader when the request ended; empty if no leader was known or
  // the leader executed the request locally.
  std::string leader{};
  // Time since the last contact with a leader.
  Millis timeSinceLeaderContact{};
};

using RelayCallback = std::function<void(RelayResult)>;

class Relay
{
public:
  Relay(boost::asio::io_context& aContext,
        RelayOptions aOptions,
        LogFunction aLog);
  ~Relay();

  void Start(const std::vector<std::string>& aSeeds);
  // Replaces the seeds; instances learned from replies are kept.
  void SetSeeds(const std::vector<std::string>& aSeeds);
  void Stop();

  // Sends the request to the leader, with retries, and calls `aDone` once: at
  // `aDeadline` at the latest or, while waiting for a leader, at the next
  // retry.
  void Call(const fleet::gen::Request& aRequest,
            Millis aDeadline,
            RelayCallback aDone);

  // Sets the function that is called when a reply contains changed limits.
  void OnLimits(std::function<void(const fleet::gen::Limits&)> aChanged);

  // Whether a leader is currently known.
  bool HasLeader() const;
  // The limits that an instance last reported.
  const fleet::gen::Limits& Limits() const;
  const RelayCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::fleetd
