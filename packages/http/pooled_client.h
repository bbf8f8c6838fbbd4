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
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "http/client.h"
#include "http/pool.h"

#include <memory>

namespace limpetwood::http {

class PooledClient
{
public:
  PooledClient(boost::asio::io_context& aContext, PoolLimits aLimits);

  // Calls `aDone` exactly once, within about `aOptions.timeout`.
  void Fetch(const Endpoint& aEndpoint,
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
