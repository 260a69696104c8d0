/// @file
/// JSON lines through log4cxx, whose fields travel in the mapped diagnostic context of the one call that writes them;
/// or through LineWriter, where processor time is scarce.
#include <eelgrasscleat/Support/Log.h>

#include "LineWriter.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 5> LevelNames = { "trace", "debug", "info", "warn", "error" };

static log4cxx::LoggerPtr processLogger;

static std::unique_ptr<LineWriter> lineWriter;
static LogLevel lowestLevel = LogLevel::Info;

/// Lines go through log4cxx, one write a line.
static void startErrorLog(const std::string &process, std::string_view level)
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
    processLogger = log4cxx::Logger::getLogger(process);
}

void startLogging(const std::string &process, std::string_view level, LogSink sink)
{
    if (sink == LogSink::StandardError) {
        startErrorLog(process, level);
        return;
    }
    const auto it = std::find(LevelNames.begin(), LevelNames.end(), level);
    lowestLevel = it == LevelNames.end() ? LogLevel::Info : static_cast<LogLevel>(it - LevelNames.begin());
    lineWriter = std::make_unique<LineWriter>(STDOUT_FILENO, process);
}

void flushLog()
{
    if (lineWriter) {
        lineWriter->flush();
    }
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
    if (lineWriter && level >= lowestLevel) {
        lineWriter->write(LevelNames[static_cast<std::size_t>(level)], message, fields);
    }
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
