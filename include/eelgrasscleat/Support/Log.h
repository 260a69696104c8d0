/// @file
/// Log lines as JSON with typed fields, written through log4cxx to standard error or, without ever blocking the caller,
/// to standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Eelgrasscleat
{

enum class LogLevel
{
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// One named value of a log line. Standard names: step, peer, customer, submission, attempt.
struct LogField
{
    std::string_view name;
    std::string value;

    LogField(std::string_view fieldName, std::string text)
        : name(fieldName)
        , value(std::move(text))
    {
    }
    LogField(std::string_view fieldName, std::uint64_t number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }
};

/// Where lines go.
enum class LogSink
{
    StandardError, ///< Written at once by the calling thread.
    StandardOutput, ///< Collected until flushLog(), which never blocks; lines are dropped and counted while none are
                    ///< taken.
};

/// Sets up logging for this process.
/// @param process name of the process, in every line
/// @param level lowest level that is written; unknown names mean info
void startLogging(const std::string &process, std::string_view level, LogSink sink = LogSink::StandardError);

/// Writes out the lines collected for standard output, as far as they are taken now.
void flushLog();

/// Writes one line.
void writeLog(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace Eelgrasscleat
