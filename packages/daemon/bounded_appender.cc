#include "daemon/bounded_appender.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace limpetwood::daemon {

namespace {

constexpr int64_t kSharePerLine = 1000;

} // namespace

BoundedAppender::BoundedAppender(int64_t aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
  , mShare(aLinesPerSecond * kSharePerLine)
  , mRefilledAt(MonotonicNow())
{
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

BoundedAppender::~BoundedAppender()
{
  destructorImpl();
}

bool
BoundedAppender::TakeShare()
{
  Millis now = MonotonicNow();
  mShare = std::min(mShare + (now - mRefilledAt).Count() * mLinesPerSecond,
                    mLinesPerSecond * kSharePerLine);
  mRefilledAt = now;
  if (mShare < kSharePerLine) {
    return false;
  }
  mShare -= kSharePerLine;
  return true;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  if (!TakeShare()) {
    ++mDropped;
    return;
  }
  std::string line = formatEvent(aEvent);
  if (mDropped > 0) {
    // In front of the brace and the line break.
    line.insert(line.size() - 2,
                ",\"dropped_lines_before\":" + std::to_string(mDropped));
  }
  ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
  if (written == static_cast<ssize_t>(line.size())) {
    mDropped = 0;
  } else {
    ++mDropped;
  }
}

} // namespace limpetwood::daemon
