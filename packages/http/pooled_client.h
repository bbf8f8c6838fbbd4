// HTTP/1.1 client for whole messages over persistent connections.
//
//   PooledClient client(ioc, limits);
//   client.Fetch(endpoint, request, options, [](FetchResult aResult) {});
//
// A request is sent once, without retries. The verdict is `kNotRun` when the
// kernel cannot have accepted any byte of the request, and `kMayHaveRun` when
// it may have and no complete response arrived. A connection on which a request
// fails is closed, together with the idle connections to the same server that
// have received nothing since that request began.
//
// The process at an endpoint can be replaced by another one at any time, and a
// request that is meant for the first must not reach the second. `FetchFrom`
// asks each new connection who is at its other end before it sends anything
// else on it.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "http/client.h"
#include "http/pool.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetwood::http {

// How to find out which process is at the other end of a connection.
struct PeerCheck
{
  // Distinguishes the process from all others that may listen at the endpoint.
  std::string peer;
  // Makes a request without effect on any process that may receive it.
  std::function<Request()> makeProbe;
  // Whether the response to the probe comes from the process.
  std::function<bool(const Response&)> isFromPeer;
};

class PooledClient
{
public:
  PooledClient(boost::asio::io_context& aContext, PoolLimits aLimits);

  // Calls `aDone` exactly once, within about `aOptions.timeout`.
  void Fetch(const Endpoint& aEndpoint,
             Request aRequest,
             FetchOptions aOptions,
             FetchCallback aDone);

  // Like `Fetch`, but sends the request only on a connection that leads to the
  // process of `aCheck`. If another one answers the probe, the verdict is
  // `kNotRun`, and the result has that answer as `probeResponse`.
  //
  // If the process closes the connection after the probe, the request is sent
  // on the next one without a probe.
  void FetchFrom(PeerCheck aCheck,
                 const Endpoint& aEndpoint,
                 Request aRequest,
                 FetchOptions aOptions,
                 FetchCallback aDone);

  // Closes idle connections; requests in progress are not affected.
  void CloseIdle() { mPool->CloseIdle(); }

  const PoolCounters& Counters() const { return mPool->Counters(); }

private:
  std::shared_ptr<Pool> mPool;
};

} // namespace limpetwood::http
