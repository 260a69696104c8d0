/// @file
/// Runs jobs on the targets owned by this instance: queueing, placement, admission control, retries, cancellation.
/// Contains no clock, thread or socket: events and the current time are passed in; commands to targets and results of
/// jobs are passed out through interfaces.
#pragma once

#include <eelgrasscleat/Dispatch/CommandPacer.h>
#include <eelgrasscleat/Dispatch/CrashHistory.h>
#include <eelgrasscleat/Dispatch/JobTypes.h>
#include <eelgrasscleat/Dispatch/PlaceTable.h>
#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// A job counts as ending before the end of a drain only if it still would with its run time multiplied by this: it may
/// run on a slow target.
constexpr double kDrainRunTimeFactor = 1.6;

/// Time limits and thresholds of a dispatcher.
struct DispatcherPolicy
{
    /// Maximum lease of a run; the platform allows no longer one.
    Duration leaseLength = std::chrono::milliseconds(1000);
    /// No task is started for a home instance that has been silent for longer. The sum of this and the lease must stay
    /// below the time after which a caller resubmits a job (1,300 ms on the users' deployments).
    Duration homeStartTimeout = std::chrono::milliseconds(250);
    /// A home instance that has been silent for longer is considered dead, and its jobs are stopped.
    Duration homeTimeout = std::chrono::milliseconds(600);
    /// Long poll time of an inspection: a quarter of the lease, so that two inspections may fail before it expires.
    std::chrono::milliseconds inspectWait { 250 };
    /// Long poll time while commands go unanswered: a lost response delays the report of an end by this much.
    std::chrono::milliseconds inspectWaitUnderLoss { 60 };
    /// Commands are assumed to go unanswered for this long after one did: network faults last for seconds.
    Duration lossyPeriod = std::chrono::seconds(5);
    /// Timeouts and the window of commands to targets.
    CommandPacerPolicy commands;
    /// Interval between inspections of an idle target, which detect restarts and fencing early.
    Duration idleInspectInterval = std::chrono::seconds(10);
    /// A late result is still useful up to this multiple of the latency objective.
    double maxLatenessFactor = 3;
    /// When crashes of targets are attributed to a task, and when it is given up.
    CrashPolicy crashes;
    /// Maximum number of queued tasks; further jobs are refused. Bounds memory: a task takes about 100 bytes.
    std::uint32_t maxQueuedTasks = 20000;
    /// Maximum memory of all jobs, in bytes; further jobs are refused.
    std::size_t maxJobBytes = std::size_t { 256 } * 1024 * 1024;
};

/// Submitter of a job: the home instance, which holds the caller's connection, within one session with it.
struct JobOrigin
{
    InstanceName home;
    std::uint64_t ticket = 0; ///< Chosen by the home instance; returned with the result.
};

/// Capacity and load of a dispatcher, as reported to other instances.
struct DispatcherLoad
{
    std::uint32_t targets = 0; ///< Usable targets.
    std::uint64_t totalMilliCores = 0;
    std::uint64_t freeMilliCores = 0;
    std::uint32_t largestMilliCores = 0; ///< Largest capacity of a single target.
    std::uint64_t queuedCoreMillis = 0; ///< Expected work of queued tasks, in core-milliseconds.
    /// The part of it that is placed before a new job of priority i, for the most urgent priorities.
    std::array<std::uint64_t, 3> urgentCoreMillis {};
    PlaceTable places; ///< Free places on usable targets.
    bool draining = false; ///< Only jobs that end within drainLeft are accepted.
    Duration drainLeft {};
    bool operator==(const DispatcherLoad &) const = default;
};

/// Estimate that led to the refusal of a job because it would end too late.
struct LatenessEstimate
{
    Duration expectedWait {}; ///< Until the job can be placed.
    Duration expectedRun {}; ///< Run time of the job's critical path on the reference target.
    Duration timeLeft {}; ///< Until the result is no longer useful.
    std::uint32_t queuedTasks = 0; ///< Queued tasks of the same or a more urgent priority.
};

/// Receives the decisions of a dispatcher. Implementations must not call back into the dispatcher.
class DispatcherObserver
{
public:
    virtual ~DispatcherObserver() = default;
    /// A job has ended; called exactly once for each submitted job.
    virtual void jobEnded(const InstanceName &home, const JobEnd &end) = 0;
    /// A job is about to be refused because it would end too late. For logging; jobEnded() follows.
    virtual void jobTooLate(const JobId &id, const LatenessEstimate &estimate) = 0;
    /// A decision about a run was made. For logs and counters.
    virtual void runDecided(std::string_view decision, const RunName &run, const TargetName &target, double detail) = 0;
    /// A target has seen a higher token: another instance now owns the targets that were owned under @p token.
    virtual void tokenFenced(FencingToken token, const TargetName &target) = 0;
    /// A target has crashed with tasks at work on it.
    virtual void targetCrashed(const TargetCrash &crash) = 0;
    /// A crash that targetCrashed() or crashLearned() has told no longer matters.
    virtual void crashForgotten(const TargetLife &target) = 0;
    /// The dispatcher's view of a target changed. For logs and counters.
    virtual void targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail) = 0;
};

/// Schedules jobs on the owned targets.
class Dispatcher
{
public:
    Dispatcher(const DispatcherPolicy &policy, TargetCommands &commands, DispatcherObserver &observer);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// This instance owns a target under @p token, or the description or token of an owned target changed.
    void targetOwned(const DispatchTarget &target, FencingToken token, Instant now);
    /// The target is no longer owned or no longer exists. Jobs that have runs on it are abandoned.
    void targetReleased(const TargetName &target, Instant now);
    /// The list of targets has an entry of the zone, whoever owns the target. It may show that an owned target has
    /// crashed.
    void targetListed(const DispatchTarget &target, Instant now);
    /// Another instance has attributed a crash to tasks, or this one in an earlier life.
    /// @returns whether the crash was not known.
    bool crashLearned(const TargetCrash &crash, Instant now);
    /// Another instance has removed a published crash.
    void crashWithdrawn(const TargetLife &target);
    /// Sets whether new runs may start on the target; false during a handover.
    void setAccepting(const TargetName &target, bool accepting);
    /// @returns whether no run can be active on the target.
    [[nodiscard]] bool isIdle(const TargetName &target) const;
    /// @returns the names of the owned targets.
    [[nodiscard]] std::vector<TargetName> targets() const;

    /// Accepts a job, or refuses it through the observer.
    void submit(const JobOrigin &origin, JobRequest request, Instant now);
    /// The caller disconnected or canceled.
    void cancel(const JobOrigin &origin, Instant now);
    /// A home instance was alive at @p when. Contacts may be reported out of order; the latest counts.
    void homeContacted(const InstanceName &home, Instant when);
    /// A home instance is gone or its session has ended: stops its jobs.
    void homeLost(const InstanceName &home, Instant now);
    /// Planned shutdown: running jobs continue, and new ones are accepted only if they can end by @p until. This uses
    /// the capacity that can't be handed over to another instance before then.
    void drain(Instant until, Instant now);
    /// The operator has evacuated the zone: refuses all jobs that have not started. The remaining tasks of the others
    /// are started up to @p lastStart; jobs that need more are abandoned then.
    void evacuate(Instant lastStart, Instant now);
    /// The operator has taken the zone back.
    void endEvacuation();
    /// @returns whether no job is left and no run can be active.
    [[nodiscard]] bool isDrained() const;

    /// Results of commands; see CommandResultHandler.
    void startAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now);
    void stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now);
    /// @param number InspectCommand::number of the inspection
    void inspected(const TargetName &target,
                   std::uint64_t number,
                   const TargetReport &report,
                   const CommandResult &result,
                   Instant now);
    void inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result, Instant now);

    /// Handles timeouts, sends due commands and places queued tasks; to be called every few tens of milliseconds.
    void advance(Instant now);

    [[nodiscard]] DispatcherLoad load() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
