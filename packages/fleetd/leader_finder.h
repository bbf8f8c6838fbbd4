// Finds the fleet's leader by pings and notices its loss.
//
//   auto finder = std::make_shared<LeaderFinder>(ioc, options, log, callbacks);
//   finder->Start(seeds);
//   finder->Leader();
//
// While a leader is known, only it is pinged. Otherwise the seeds and the
// instances that replies name are pinged at the same time: an instance that
// does not answer must not delay the discovery by its timeout. An instance that
// is named as the leader is pinged at once and then often, until it confirms
// that it leads.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/log_event.h"
#include "base/time.h"
#include "fleet/codec.h"
#include "fleetd/leader_evidence.h"
#include "fleetd/relay_options.h"
#include "http/pooled_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleetd {

class LeaderFinder : public std::enable_shared_from_this<LeaderFinder>
{
public:
  struct Callbacks
  {
    // A leader was found, or another one than before.
    std::function<void()> onLeaderFound;
    // A reply contains other limits than the previous one.
    std::function<void(const fleet::gen::Limits&)> onLimitsChanged;
  };

  LeaderFinder(boost::asio::io_context& aContext,
               const RelayOptions& aOptions,
               LogFunction aLog,
               Callbacks aCallbacks);

  void Start(std::vector<std::string> aSeeds);
  // Replaces the seeds; instances learned from replies are kept.
  void SetSeeds(std::vector<std::string> aSeeds);
  void Stop();

  // Empty while no leader is known.
  const std::string& Leader() const { return mLeader; }
  // Time of the last contact with a leader. Before the first contact, a time so
  // long ago that every threshold is exceeded.
  Millis LastLeaderContact() const { return mLastLeaderContact; }
  // Whether no leader is known and none of the other instances has answered for
  // `maxLeaderSilence`, so that no request can succeed here soon.
  bool IsCutOff() const;

  // Pings `aInstance`, which was named as the leader, unless it is the known
  // one. It is pinged repeatedly for a short time, because an elected leader
  // does not lead before it has confirmed its state.
  void OnLeaderNamed(const std::string& aInstance);
  // Reads the members, the limits and the named leader from a reply.
  void OnReply(const std::string& aFrom, const fleet::gen::Reply& aReply);
  // The known leader executed a request.
  void OnLeaderContact() { mLastLeaderContact = MonotonicNow(); }
  // Gives up the leader if the failed attempt at it shows that it is lost;
  // `lastHeardAt` is ignored.
  void OnFailedAttempt(FailedLeaderAttempt aAttempt);

private:
  std::vector<std::string> Candidates() const;
  // Sends the pings that are due, and schedules the next ones.
  void SendPings();
  void PingCandidates();
  // Does nothing if a ping to the instance is in flight.
  void Ping(const std::string& aTarget);
  void OnPing(const std::string& aTarget,
              Millis aSentAt,
              const http::FetchResult& aResult);
  void SetLeader(const std::string& aLeader);
  void ClearLeader(std::string_view aReason);

  const RelayOptions mOptions;
  LogFunction mLog;
  Callbacks mCallbacks;
  http::PooledClient mClient;
  boost::asio::steady_timer mTimer;
  std::vector<std::string> mSeeds;
  std::set<std::string> mMembers;
  std::string mLeader;
  Millis mLeaderFoundAt;
  Millis mLeaderLostAt;
  Millis mLastLeaderContact{ -1'000'000 };
  // Time of the latest answer of another instance than this one.
  Millis mOtherHeardAt;
  // The instance that was named as the leader and has not confirmed it, and the
  // time until which it is pinged often.
  std::string mNamed;
  Millis mNamedUntil;
  // Time of the next ping of the leader or the candidates.
  Millis mNextPings;
  // Position in the list of candidates.
  size_t mNextCandidate = 0;
  // Instances with a ping in flight.
  std::set<std::string> mPinged;
  fleet::gen::Limits mLimits;
  bool mStopped = false;
};

// Posts an encoded request to the request server of `aTarget`, an address
// without a port.
void
PostToInstance(http::PooledClient& aClient,
               const http::Endpoint& aTarget,
               std::string aBytes,
               Millis aTimeout,
               http::FetchCallback aDone);

// Limits of a pool with `aMaxConnections` connections to each instance.
http::PoolLimits
InstancePoolLimits(uint32_t aMaxConnections);

} // namespace limpetwood::fleetd
