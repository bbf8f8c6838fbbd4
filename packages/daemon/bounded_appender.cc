#include "daemon/bounded_appender.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace limpetwood::daemon {

namespace {

// One token is refilled per millisecond for each line per second.
constexpr int64_t kTokensPerLine = 1000;

} // namespace

BoundedAppender::BoundedAppender(int64_t aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
  , mTokens(aLinesPerSecond * kTokensPerLine)
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
BoundedAppender::TryConsumeTokens()
{
  Millis now = MonotonicNow();
  mTokens = std::min(mTokens + (now - mRefilledAt).Count() * mLinesPerSecond,
                     mLinesPerSecond * kTokensPerLine);
  mRefilledAt = now;
  if (mTokens < kTokensPerLine) {
    return false;
  }
  mTokens -= kTokensPerLine;
  return true;
}

void
BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  if (!TryConsumeTokens()) {
    ++mDropped;
    return;
  }
  std::string line = formatEvent(aEvent);
  if (mDropped > 0) {
    // Insert the field before the closing brace and the line break.
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
