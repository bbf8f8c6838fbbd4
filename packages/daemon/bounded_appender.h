// A log4cplus appender that writes to standard output without blocking.
//
// Lines above a rate limit and lines that cannot be written completely at once,
// as when a pipe is full, are dropped and counted. The next written line
// reports the count.

#pragma once

#include "base/time.h"

#include <log4cplus/appender.h>

#include <cstdint>

namespace limpetwood::daemon {

class BoundedAppender : public log4cplus::Appender
{
public:
  // Limits output to `aLinesPerSecond` on average, with bursts of as many
  // lines. Sets standard output to non-blocking mode.
  explicit BoundedAppender(int64_t aLinesPerSecond);
  ~BoundedAppender() override;

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  // Consumes the tokens of one line from the token bucket. Returns false if too
  // few are left.
  bool TryConsumeTokens();

  const int64_t mLinesPerSecond;
  // Token bucket, in thousandths of a line.
  int64_t mTokens;
  Millis mRefilledAt;
  // Lines dropped since the last written one.
  uint64_t mDropped = 0;
};

} // namespace limpetwood::daemon
