/// @file
/// JSON lines through log4cxx. Fields travel in the mapped diagnostic context of the one call that writes them.
#include <eelgrasscleat/Support/Log.h>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <deque>

namespace Eelgrasscleat
{

static log4cxx::LoggerPtr processLogger;

/// Lines that wait to be written before new ones are dropped: about half a second of the busiest instance.
static constexpr int WaitingLines = 1024;

static log4cxx::AppenderPtr makeAppender(LogSink sink)
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    if (sink == LogSink::StandardError) {
        return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    }
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(WaitingLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    return queue;
}

void startLogging(const std::string &process, std::string_view level, LogSink sink)
{
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(sink));
    root->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
    processLogger = log4cxx::Logger::getLogger(process);
}

static log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cxx::Level::getTrace();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

void writeLog(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    if (!processLogger) {
        return;
    }
    const auto wanted = toLevel(level);
    if (!processLogger->isEnabledFor(wanted)) {
        return;
    }
    std::deque<log4cxx::MDC> context;
    for (const auto &it : fields) {
        context.emplace_back(std::string(it.name), it.value);
    }
    processLogger->log(wanted, std::string(message));
}

} // namespace Eelgrasscleat
