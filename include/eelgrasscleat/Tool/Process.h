/// @file
/// What every process of the system shares: its command line, its settings file and its end on SIGTERM.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace Eelgrasscleat
{

/// Exit codes of all processes; docs/operators/commands.md lists them.
enum class ExitCode
{
    Success = 0,
    Failure = 1, ///< Ran, and failed: a port that can't be opened, a violation that was found.
    Usage = 2, ///< The command line is wrong.
    Invalid = 3, ///< A settings file or a change is invalid.
    Conflict = 4, ///< Another operator's change came first.
    Unknown = 5, ///< Whether the change took effect can't be known.
    Unreachable = 6, ///< The platform or an instance didn't answer, and nothing was changed.
};

/// Name and purpose of a process, for its help text.
struct ProcessInfo
{
    std::string name;
    std::string purpose;
};

/// Reads the options --settings, --check and --print-settings, then the settings file.
/// @param settings message of schema/settings.proto to fill
/// @returns nothing if the process is to go on, otherwise the code to end with.
std::optional<ExitCode>
readCommandLine(int argc, char **argv, const ProcessInfo &info, google::protobuf::Message &settings);

/// Calls a function on the event loop when the process gets one of some signals. Make it before any thread is started:
/// it blocks the signals, and threads inherit that.
class SignalWatcher
{
public:
    SignalWatcher(std::initializer_list<int> numbers, std::function<void()> received);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Watches for the signals that ask a process to end, SIGTERM and SIGINT.
class TerminationSignal : public SignalWatcher
{
public:
    explicit TerminationSignal(std::function<void()> terminate);
};

/// Watches for the signal that says that settings have changed, SIGHUP.
class ReloadSignal : public SignalWatcher
{
public:
    explicit ReloadSignal(std::function<void()> reload);
};

/// Prints one line of JSON with the port on standard output, for whoever started the process.
void announcePort(std::uint16_t port);

} // namespace Eelgrasscleat
