/// @file
/// Jobs, tasks and runs: the data types shared by the dispatching components.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// Identifier chosen by the caller; a resubmitted job keeps it.
using JobId = Name<struct JobIdTag>;
/// Name of a job queue in the configuration.
using RouteName = Name<struct RouteNameTag>;
/// Monotonically increasing version of the configuration.
using ConfigVersion = Number<struct ConfigVersionTag>;
/// Fencing token of an owner of targets; a target rejects tokens below the highest that it has seen.
using FencingToken = Number<struct FencingTokenTag>;

/// Resources that a task occupies on its target while it runs.
struct ResourceDemand
{
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;
    bool operator==(const ResourceDemand &) const = default;

    [[nodiscard]] bool fitsIn(const ResourceDemand &available) const
    {
        return milliCores <= available.milliCores && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }
};

/// A step of a job: tasks that may run in parallel.
struct JobStep
{
    std::uint32_t tasks = 1;
    std::uint32_t firstTask = 0; ///< Index of the first task; above 0 if this is a part of a divided job.
    ResourceDemand demand; ///< Per task.
    Duration estimate {}; ///< Run time of a task as estimated by the caller; 0 if not given.
    std::vector<std::uint32_t> predecessors; ///< Indexes of steps that must be done before this one starts.
    std::string requiredLabel; ///< Label that the target must have; empty for any target.
    std::string preferredRack; ///< Rack that stores the step's data; empty if none.
    std::uint32_t perTargetLimit = 0; ///< Maximum number of the step's tasks on one target; 0 for no limit.
};

/// A job and the parameters of its scheduling.
struct JobRequest
{
    JobId id;
    RouteName route;
    ServiceName service; ///< Only targets of this service can run the job.
    std::string requestId; ///< Request identifier given by the caller, for logs; may be empty.
    std::string payload; ///< Passed to the targets unchanged.
    std::vector<JobStep> steps;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Number of failed runs of a task after which the job fails.
    double stretch = 1; ///< Multiple of the critical path's run time that the latency objective allows.
    Duration latencyTarget {}; ///< Fixed part of the latency objective, added to the stretched run time.
    Instant submitted; ///< Arrival time of the caller's request.
    Instant deadline; ///< Time at which the caller stops waiting.
    /// Refused unless it is expected to meet its objective: the home has other dispatchers to ask.
    bool onlyInTime = false;
    /// Other parts of the job have been accepted. Never refused as late, since the caller could not be told truly that
    /// the job has not run.
    bool othersAccepted = false;
};

/// @returns the memory of one copy of @p request, with an entry for each of its tasks, in bytes.
std::size_t heldBytes(const JobRequest &request);

/// @returns the caller's estimate of the job's run time if its steps run one after the other.
Duration sequentialEstimate(const JobRequest &request);

/// How a job ended.
enum class JobOutcome
{
    Complete, ///< All tasks have completed.
    Failed, ///< A task has failed as many times as the route allows, or crashes its targets.
    Refused, ///< Not run: no task was started and none will be.
    Abandoned, ///< Some tasks may have run; all are stopped. The job may be resubmitted.
    Expired, ///< Like Abandoned, because the deadline has passed.
    Canceled, ///< The caller disconnected or canceled the job.
};

/// @returns the name of @p outcome used in logs and metrics.
std::string_view jobOutcomeName(JobOutcome outcome);

/// Reason for refusing or abandoning a job.
enum class JobEndReason
{
    None,
    NoConfiguration, ///< This instance has not received the configuration yet.
    UnknownRoute,
    Unsupported, ///< The job needs an unimplemented feature, such as gang scheduling or timed starts.
    Malformed,
    NoDispatcher, ///< No reachable instance owns targets.
    NoSuitableTarget, ///< No owned target has the capacity or the label that the job needs.
    TooLate, ///< The job can't complete while its result is still useful to the caller.
    QueueFull,
    Stopping, ///< The dispatcher is shutting down.
    DispatcherLost, ///< The instance that ran the job is no longer reachable.
    DeadlinePassed,
    AttemptsExhausted,
    CallerGone,
    Superseded, ///< The same job was submitted again.
    TargetsLost, ///< The dispatcher lost ownership of the targets that ran the job.
    DeliveryDelayed, ///< The job reached the dispatcher so late that its home instance may have abandoned it.
    ZoneEvacuated, ///< The operator has evacuated the zone of the targets.
    TargetsCrashed, ///< One of the job's tasks crashes the targets that start it.
};

/// @returns the name of @p reason used in logs and metrics.
std::string_view jobEndReasonName(JobEndReason reason);

/// @returns whether a job that is refused for @p reason may be accepted later. Otherwise a retry is pointless while the
/// configuration stays as it is.
bool mayBeAcceptedLater(JobEndReason reason);

/// Final result of a job, reported to its submitter.
struct JobEnd
{
    JobId id;
    std::uint64_t ticket = 0; ///< Distinguishes submissions of the same job; chosen by the submitter.
    JobOutcome outcome = JobOutcome::Refused;
    JobEndReason reason = JobEndReason::None;
    Duration retryAfter {}; ///< If refused and mayBeAcceptedLater(): delay after which a retry is likely to succeed.
    /// If refused because of JobRequest::onlyInTime: time until the expected end if the dispatcher is asked again
    /// without it; zero if the result would be of no use.
    Duration lateEnd {};
};

/// Identifies a task of a job.
struct TaskName
{
    JobId job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    auto operator<=>(const TaskName &) const = default;
    bool operator==(const TaskName &) const = default;
};

/// Identifies one run of a task.
struct RunName
{
    TaskName task;
    std::uint32_t run = 1; ///< Number of the run within its task, starting at 1.
    auto operator<=>(const RunName &) const = default;
    bool operator==(const RunName &) const = default;
};

/// How a run ended, as reported by its target.
enum class RunEndKind
{
    Done,
    Failed, ///< Because of the task or of the target.
    Stopped,
    Expired, ///< Its lease expired.
    Other,
};

/// @returns the name of @p kind used in logs.
std::string_view runEndKindName(RunEndKind kind);

} // namespace Eelgrasscleat
