// Discovers the fleet's leader and forwards requests to it.
//
//   Relay relay(ioc, options, log);
//   relay.Start(seeds);
//   relay.Call(request, deadline, [](RelayResult aResult) {});
//
// `LeaderFinder` finds the leader. All requests are safe to retry: jobs are
// identified by their id and configurations by their version. If the leader
// changes while a request is in flight, the request is also sent to the new
// leader. If an attempt of a request that changes state got no answer, the
// request is retried until its deadline, and `kMayHaveRun` replaces any outcome
// that means that the request was not executed.
//
// Retries at the same leader take tokens from a budget, requests that waited
// for a leader are resent a few at a time, and the number of requests in flight
// is bounded, so that a slow leader is not sent more than it already has.
//
// Load pattern: during an election all workers report to instances that do not
// lead, and a worker that is refused calls the next instance at once. Reports
// therefore wait for a leader for most of their time, unless this instance is
// cut off from all others. They wait behind the requests of callers and
// operators and leave connections to them.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/log_event.h"
#include "base/time.h"
#include "fleet/codec.h"
#include "fleet/request.h"
#include "fleetd/relay_options.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetwood::fleetd {

struct RelayCounters
{
  uint64_t calls = 0;
  // Failed attempts, by reason, whether or not a retry followed.
  // `retriesNotLeader` includes replies that could not be decoded and late
  // refusals by an earlier leader.
  uint64_t retriesNotLeader = 0;
  uint64_t retriesNotSent = 0;
  uint64_t retriesNoAnswer = 0;
  // Requests resent because the leader changed while an attempt was in flight.
  uint64_t retriesLeaderChanged = 0;
  // Requests that had to wait because `maxInFlight` was reached, and retries
  // that had to wait because the budget was used up.
  uint64_t waitedForSlot = 0;
  uint64_t waitedForBudget = 0;
  // Calls that ended because no leader was found in time or could take them,
  // including those that ended with `kMayHaveRun`.
  uint64_t refusedNoLeader = 0;
  uint64_t leaderChanges = 0;
};

// The reply to a request, and what the relay knew about the leader when the
// request ended.
struct RelayResult
{
  fleet::gen::Reply reply{};
  // Number of attempts by the relay; 0 if the request was refused without an
  // attempt or executed locally by `ControlProcess`.
  uint32_t attempts = 0;
  // The known leader when the request ended; empty if none was known or if this
  // replica executed the request.
  std::string leader{};
  // Time since the last contact with a leader; 0 if this replica executed the
  // request, at least 1000 s if there was no contact yet.
  Millis timeSinceLeaderContact{};
};

using RelayCallback = std::function<void(RelayResult)>;

// Calls that are pending when the relay is destroyed may still end later, so
// callbacks must not refer to destroyed objects.
class Relay
{
public:
  Relay(boost::asio::io_context& aContext,
        RelayOptions aOptions,
        LogFunction aLog);
  ~Relay();

  // Starts leader discovery through the seeds.
  void Start(const std::vector<std::string>& aSeeds);
  // Replaces the seeds; instances learned from replies are kept.
  void SetSeeds(const std::vector<std::string>& aSeeds);
  // Stops leader discovery. Attempts in flight still end; calls that wait for a
  // leader end at the next retry if none is known.
  void Stop();

  // Checks soon whether `aInstance` leads, which the caller learned otherwise,
  // such as from this instance's replica.
  void OnLeaderNamed(const std::string& aInstance);

  // Ends all calls as at their deadlines, and later calls at once, so that a
  // process that has to exit leaves none without an answer.
  void EndCalls();

  // Sends the request to the leader, with retries, and calls `aDone` once,
  // possibly before returning, at `aDeadline`, a time of `MonotonicNow()`, at
  // the latest. Without an answer of a leader, the outcome is `kUnavailable`
  // or, if an attempt may have changed state, `kMayHaveRun`.
  void Call(const fleet::gen::Request& aRequest,
            Millis aDeadline,
            RelayCallback aDone);

  // Sets the function that is called when a reply contains other limits for
  // callers than the previous one.
  void SetLimitsCallback(
    std::function<void(const fleet::gen::Limits&)> aChanged);

  // Whether a leader is currently known.
  bool HasLeader() const;
  // The limits for callers that an instance last reported; all zero before the
  // first report.
  const fleet::gen::Limits& Limits() const;
  const RelayCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::fleetd
