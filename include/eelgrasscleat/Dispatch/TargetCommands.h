/// @file
/// Interface between the dispatcher and the transport to targets: commands sent to a target, and its responses.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Time on a target's own monotonic clock.
using TargetTime = std::chrono::milliseconds;

/// A target as described by the platform's target list.
struct DispatchTarget
{
    TargetName name;
    ServiceName service;
    ZoneName zone;
    std::string address; ///< IP address and port.
    std::string rack;
    std::vector<std::string> labels;
    ResourceDemand capacity;
    std::uint64_t incarnation = 0; ///< Start time of the target in Unix milliseconds; 0 if unknown.
    bool draining = false; ///< The target is about to leave and must not be given new work.
    bool operator==(const DispatchTarget &) const = default;
};

/// Outcome of a command.
enum class CommandStatus
{
    Accepted,
    Fenced, ///< The target has seen a higher fencing token.
    StaleRun, ///< A run of this task with the same or a higher number has already ended or been stopped there.
    LeaseExpired, ///< The lease named in the command had already expired.
    InsufficientCapacity,
    Rejected, ///< Rejected for any other reason; the command had no effect.
    IncarnationMismatch, ///< The target has restarted since the incarnation that the command was addressed to.
    NoResponse, ///< The command may have been executed, or may still be.
    NotSent, ///< The command never left this instance.
};

/// @returns the name of @p status used in logs and metrics.
std::string_view commandStatusName(CommandStatus status);

/// Response to a command, with the target's clock if it was included.
struct CommandResult
{
    CommandStatus status = CommandStatus::NoResponse;
    TargetTime clock { 0 };
    bool hasClock = false;
    bool connectionClosed = false; ///< There is no response because the connection was closed or refused.
};

/// A run that a target reports as running.
struct ReportedRun
{
    RunName run;
    double progress = 0; ///< Completed share of the work, in percent.
};

/// The end of a run. A target reports it until it is acknowledged.
struct ReportedEnd
{
    std::uint64_t number = 0; ///< Sequence number within one incarnation of the target, starting at 1.
    RunName run;
    RunEndKind kind = RunEndKind::Other;
};

/// State of a target, as returned by an inspection.
struct TargetReport
{
    std::uint64_t incarnation = 0; ///< 0 if unknown.
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended;
};

/// Destination of a command.
struct TargetAddress
{
    TargetName name;
    std::string address; ///< IP address and port.
};

/// Requests a target's state, and optionally renews the lease of all its runs.
struct InspectCommand
{
    TargetAddress target;
    std::uint64_t number = 0; ///< Returned with the response: two inspections of a target may be in flight.
    FencingToken token;
    std::uint64_t acknowledged = 0; ///< The target may discard ends up to this sequence number.
    bool renew = false;
    TargetTime leaseEnd { 0 }; ///< If renewing: end of the lease on the target's clock.
    std::chrono::milliseconds wait { 0 }; ///< Long poll: the target responds when a run ends or this time has passed.
    /// After it, the command counts as unanswered; added to the wait.
    std::chrono::milliseconds responseTimeout { 150 };
};

/// Starts a run.
struct StartCommand
{
    TargetAddress target;
    FencingToken token;
    RunName run;
    const std::string *payload = nullptr; ///< Valid during the call.
    TargetTime leaseEnd { 0 };
    /// After it, the command counts as unanswered.
    std::chrono::milliseconds responseTimeout { 150 };
};

/// Stops a run.
struct StopCommand
{
    TargetAddress target;
    FencingToken token;
    RunName run;
    /// After it, the command counts as unanswered.
    std::chrono::milliseconds responseTimeout { 150 };
};

/// Sends commands to targets. Each command is completed exactly once, asynchronously, through CommandResultHandler.
class TargetCommands
{
public:
    virtual ~TargetCommands() = default;
    virtual void start(const StartCommand &command) = 0;
    virtual void stop(const StopCommand &command) = 0;
    virtual void inspect(const InspectCommand &command) = 0;
};

/// Receives the results of commands.
class CommandResultHandler
{
public:
    virtual ~CommandResultHandler() = default;
    virtual void startAnswered(const TargetName &target, const RunName &run, const CommandResult &result) = 0;
    virtual void stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result) = 0;
    /// @param number InspectCommand::number of the inspection
    virtual void inspected(const TargetName &target,
                           std::uint64_t number,
                           const TargetReport &report,
                           const CommandResult &result) = 0;
    /// @param number InspectCommand::number of the inspection
    virtual void inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result) = 0;
};

} // namespace Eelgrasscleat
