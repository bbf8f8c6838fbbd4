// A stand-in of the control port and functions that run limpetctl, for tests.

#pragma once

#include "ctl/run.h"
#include "http/server.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace limpetwood::ctl {

using http::Request;
using http::Response;

inline Response
MakeResponse(int aStatus, std::string aBody, std::string_view aVerdict = "")
{
  Response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  if (!aVerdict.empty()) {
    response.headers.Set("Limpetwood-Verdict", aVerdict);
  }
  return response;
}

// A control port on its own thread that records the requests it receives.
class FakeControl
{
public:
  using Handler = std::function<Response(const Request&)>;

  explicit FakeControl(Handler aHandler)
    : mHandler(std::move(aHandler))
    , mServer(mContext, {}, [this](Request aRequest, http::Responder aRespond) {
      std::lock_guard lock(mMutex);
      mRequests.push_back(aRequest);
      aRespond(mHandler(aRequest));
    })
  {
    mAddress = http::FormatEndpoint(mServer.Listen({ "127.0.0.1", 0 }).Value());
    mThread = std::thread([this] { mContext.run(); });
  }

  ~FakeControl()
  {
    boost::asio::post(mContext, [this] { mServer.Close(); });
    mThread.join();
  }

  const std::string& Address() const { return mAddress; }

  std::vector<Request> Requests()
  {
    std::lock_guard lock(mMutex);
    return mRequests;
  }

private:
  Handler mHandler;
  boost::asio::io_context mContext;
  http::Server mServer;
  std::string mAddress;
  std::thread mThread;
  std::mutex mMutex;
  std::vector<Request> mRequests;
};

struct CommandResult
{
  int code;
  std::string out;
  std::string err;
};

// Without `--instance`.
inline CommandResult
RunLocally(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  int code = Run(aArguments, out, err);
  return { code, out.str(), err.str() };
}

inline CommandResult
RunWith(const std::string& aInstances, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), { "--instance", aInstances });
  return RunLocally(aArguments);
}

inline bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

inline std::string
TempFile(const std::string& aName, const std::string& aText)
{
  std::string file = testing::TempDir() + "limpetctl-test-" + aName;
  std::ofstream(file) << aText;
  return file;
}

} // namespace limpetwood::ctl
