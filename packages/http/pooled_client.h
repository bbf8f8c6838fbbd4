// HTTP/1.1 client for whole messages over connections that are kept open.
//
//   PooledClient client(ioc, limits);
//   client.Fetch(endpoint, request, options, [](FetchResult aResult) {});
//
// A request is sent once. The verdict is `kNotRun` when no byte of it was
// handed to the kernel, and `kMayHaveRun` when no complete answer came. A
// connection that did not answer in time is closed together with the idle ones
// to the same server that were not heard of since.
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

  // Closes idle connections; requests in progress end as usual.
  void CloseIdle() { mPool->CloseIdle(); }

  const PoolCounters& Counters() const { return mPool->Counters(); }

private:
  std::shared_ptr<Pool> mPool;
};

} // namespace limpetwood::http
