#include "daemon/log.h"

#include "daemon/bounded_appender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace limpetwood::daemon {

namespace {

log4cplus::LogLevel
ToLog4cplus(model::LogLevel aLevel)
{
  switch (aLevel) {
    case model::LogLevel::kTrace:
      return log4cplus::TRACE_LOG_LEVEL;
    case model::LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case model::LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case model::LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case model::LogLevel::kError:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger
DaemonLogger()
{
  return log4cplus::Logger::getInstance("limpetwood");
}

// Rate limit of the non-blocking log: allows a few lines per request at the
// planned request rate of one instance.
constexpr int64_t kMaxLinesPerSecond = 400;

void
AddAppenderWithLayout(log4cplus::SharedAppenderPtr aAppender,
                      const InstanceId& aInstance)
{
  aAppender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    R"({"time":"%d{%Y-%m-%dT%H:%M:%S.%q}Z","level":"%p","instance":")" +
    aInstance.Value() + R"(",%m}%n)"));
  DaemonLogger().addAppender(aAppender);
}

} // namespace

void
OpenLog(const model::LogSettings& aSettings, const InstanceId& aInstance)
{
  static log4cplus::Initializer sInitializer;
  log4cplus::SharedAppenderPtr appender;
  if (aSettings.file) {
    appender = new log4cplus::FileAppender(*aSettings.file, std::ios_base::app);
  } else {
    appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                              /*immediateFlush=*/true);
  }
  AddAppenderWithLayout(appender, aInstance);
  DaemonLogger().setLogLevel(ToLog4cplus(aSettings.level));
}

void
OpenNonBlockingLog(const InstanceId& aInstance)
{
  static log4cplus::Initializer sInitializer;
  // The threads of this pool serve asynchronous appenders, of which there are
  // none.
  log4cplus::setThreadPoolSize(1);
  AddAppenderWithLayout(
    log4cplus::SharedAppenderPtr(new BoundedAppender(kMaxLinesPerSecond)),
    aInstance);
  DaemonLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void
LogInfo(const LogEvent& aEvent)
{
  LOG4CPLUS_INFO(DaemonLogger(), aEvent.JsonMembers());
}

void
LogWarn(const LogEvent& aEvent)
{
  LOG4CPLUS_WARN(DaemonLogger(), aEvent.JsonMembers());
}

void
LogError(const LogEvent& aEvent)
{
  LOG4CPLUS_ERROR(DaemonLogger(), aEvent.JsonMembers());
}

} // namespace limpetwood::daemon
