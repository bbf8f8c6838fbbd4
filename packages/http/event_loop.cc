#include "http/event_loop.h"

#include <boost/asio/post.hpp>

#include <sys/resource.h>

#include <chrono>
#include <utility>

namespace limpetwood::http {

namespace {

// Maximum time between two rounds of a loop without work.
constexpr std::chrono::milliseconds kMaxBlockTime(100);

// A poll of an io_context returns at most 128 events, of which two can be its
// own. The handler of one runs between two rounds.
constexpr uint64_t kMaxEventsOfPoll = 125;

uint64_t
MaxOpenDescriptors()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

} // namespace

EventLoopProgress::EventLoopProgress(boost::asio::io_context& aContext)
  : service(aContext)
  , mContext(aContext)
  , mMaxPolls(MaxOpenDescriptors() / kMaxEventsOfPoll + 1)
  , mInputHandledUntil(MonotonicNow())
{
}

uint64_t
EventLoopProgress::RunRound()
{
  uint64_t round = ++mRound;
  mRoundBegins.push_back(MonotonicNow());
  // The context runs handlers in the order in which they became ready, and it
  // polls whenever it has run those that were ready at the last poll. It
  // therefore polls exactly once before it reaches this handler.
  boost::asio::post(mContext, [this, round] { mFinishedRound = round; });
  uint64_t handlers = 0;
  while (mContext.poll_one() > 0 && mFinishedRound != round) {
    ++handlers;
  }
  if (mFinishedRound != round) {
    // The context was stopped.
    return 0;
  }
  // These were the handlers of the poll in the previous round. If that poll had
  // room for more events, it returned all there were; otherwise, the next polls
  // return the remaining ones, the longest ready first. If a socket is ready
  // for two operations, the handler of the second one runs a round later.
  bool complete = std::exchange(mPollWasComplete, handlers < kMaxEventsOfPoll);
  while (mRoundBegins.size() > 2 &&
         (complete || mRoundBegins.size() > mMaxPolls + 2)) {
    mInputHandledUntil = mRoundBegins.front();
    mRoundBegins.pop_front();
  }
  return handlers;
}

void
RunEventLoop(boost::asio::io_context& aContext)
{
  EventLoopProgress& progress = EventLoopProgress::Of(aContext);
  progress.mRoundBegins.clear();
  progress.mPollWasComplete = false;
  while (!aContext.stopped()) {
    aContext.run_one_for(kMaxBlockTime);
    // Two rounds without a handler, so that the time is that of the latter.
    while (progress.RunRound() > 0 || progress.RunRound() > 0) {
    }
  }
}

} // namespace limpetwood::http
