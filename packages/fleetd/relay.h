// Carries requests to the instance that leads the fleet, and finds it.
//
//   Relay relay(ioc, options, log);
//   relay.Start(seeds);
//   relay.Call(request, deadline, [](gen::Reply aReply) {});
//
// The leader is looked for with pings at the seeds and at the instances that
// replies name. All requests may be repeated: jobs and configurations carry
// their own identity. A request that waits for a leader's answer when another
// leader is found is sent to that one too. A request of which an attempt got no
// answer never ends with an outcome that says that nothing was done, and is
// repeated until its deadline.
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
  // One attempt of a request.
  Millis attemptTimeout = Millis(1200);
  // How long a request that certainly did not run waits for a leader that was
  // lost a moment ago; about one election.
  Millis leaderWait = Millis(1200);
  // A loss that is longer ago than this is an outage, and requests are refused
  // at once.
  Millis outageAfter = Millis(1500);
};

struct RelayCounters
{
  uint64_t calls = 0;
  uint64_t retriesNotLeader = 0;
  uint64_t retriesNotSent = 0;
  uint64_t retriesNoAnswer = 0;
  // Sent again because another leader was found before the answer.
  uint64_t retriesMoved = 0;
  uint64_t refusedNoLeader = 0;
  uint64_t leaderChanges = 0;
};

// The outcome of a request, and what it rests on.
struct RelayResult
{
  fleet::gen::Reply reply{};
  // 0 if the request was refused without one.
  uint32_t attempts = 0;
  // The instance that was believed to lead at the end; empty if none was, and
  // on the leader itself.
  std::string leader{};
  // How long ago it was last known to lead.
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
  // Replaces the seeds; instances learned from replies stay known.
  void SetSeeds(const std::vector<std::string>& aSeeds);
  void Stop();

  // Calls `aDone` once, at `aDeadline` at the latest.
  void Call(const fleet::gen::Request& aRequest,
            Millis aDeadline,
            RelayCallback aDone);

  // Called when the leader reports other limits than before.
  void OnLimits(std::function<void(const fleet::gen::Limits&)> aChanged);

  // Whether a leader answered lately.
  bool HasLeader() const;
  // The limits that the leader last reported.
  const fleet::gen::Limits& Limits() const;
  const RelayCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::fleetd
