// Writes log lines to standard output without ever waiting for it.
//
// Lines above a rate, and lines that the reader of the output has no room for,
// are dropped and counted; the count is written with the next line that goes
// through.

#pragma once

#include "base/time.h"

#include <log4cplus/appender.h>

#include <cstdint>

namespace limpetwood::daemon {

class BoundedAppender : public log4cplus::Appender
{
public:
  // `aLinesPerSecond` lines a second on average, and as many at once.
  explicit BoundedAppender(int64_t aLinesPerSecond);
  ~BoundedAppender() override;

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  // Takes one line's share of the rate; false if none is left.
  bool TakeShare();

  const int64_t mLinesPerSecond;
  // Thousandths of a line.
  int64_t mShare;
  Millis mRefilledAt;
  uint64_t mDropped = 0;
};

} // namespace limpetwood::daemon
