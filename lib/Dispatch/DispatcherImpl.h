/// @file
/// Implementation class of the dispatcher. Jobs are in Dispatcher.cpp, admission control in
/// DispatcherAdmission.cpp, planned stops and evacuations in DispatcherClosing.cpp, runs in DispatcherRuns.cpp, targets
/// in DispatcherTargets.cpp, lost targets in DispatcherCrashes.cpp.
#pragma once

#include "JobTable.h"
#include "TargetSelector.h"

#include <eelgrasscleat/Dispatch/StartForecast.h>

#include <deque>
#include <optional>

namespace Eelgrasscleat
{

/// Maximum number of inspections of one target in flight: the second replaces a lost response to the first.
constexpr std::size_t kMaxInspectionsInFlight = 2;

/// Minimum retry delay given to a refused caller: a client round trip and one placement.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
/// Maximum retry delay given to a refused caller: by then, results are of no use on the users' deployments.
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

class Dispatcher::Impl
{
public:
    Impl(const DispatcherPolicy &policy, TargetCommands &commands, DispatcherObserver &observer)
        : m_policy(policy)
        , m_commands(commands)
        , m_observer(observer)
        , m_selector(m_targets, m_health, policy.homeStartTimeout)
        , m_pacer(policy.commands)
        , m_crashes(policy.crashes)
    {
    }

    // Jobs.
    void submit(const JobOrigin &origin, JobRequest request, Instant now);
    void cancel(const JobOrigin &origin, Instant now);
    void homeContacted(const InstanceName &home, Instant when);
    void homeLost(const InstanceName &home, Instant now);
    void drain(Instant until, Instant now);
    void evacuate(Instant lastStart, Instant now);
    void endEvacuation();
    void advance(Instant now);

    // Targets and runs.
    void targetOwned(const DispatchTarget &target, FencingToken token, Instant now);
    void targetReleased(const TargetName &target, Instant now);
    void targetListed(const DispatchTarget &target, Instant now);
    bool crashLearned(const TargetCrash &crash, Instant now);
    void crashWithdrawn(const TargetLife &target);
    void startAnswered(const TargetName &name, const RunName &run, const CommandResult &result, Instant now);
    void stopAnswered(const TargetName &name, const RunName &run, const CommandResult &result, Instant now);
    void inspected(const TargetName &name,
                   std::uint64_t number,
                   const TargetReport &report,
                   const CommandResult &result,
                   Instant now);
    void inspectionFailed(const TargetName &name, std::uint64_t number, const CommandResult &result, Instant now);

    [[nodiscard]] DispatcherLoad load(Instant now) const;

    OwnedTargets m_targets;
    SpeedTable m_speeds;
    JobTable m_jobTable;
    Instant m_lastNow {};
    bool m_draining = false;
    Instant m_drainUntil {};
    std::optional<Instant> m_lastStartAt; ///< Set while the zone is evacuated: no task is started after it.

private:
    /// Run numbers of a recently submitted job, and its runs that were still active when it ended.
    struct RecentJob
    {
        std::uint32_t stoppingRuns = 0; ///< Runs of ended submissions that may still be active.
        std::uint32_t lastRunNumber = 0; ///< Highest run number used so far.
        Instant lastUsedAt {};
    };

    /// Expected times of a queued job.
    struct ExpectedTimes
    {
        Duration wait {}; ///< Until its last task starts.
        Duration run {}; ///< From then on.
    };

    // Jobs.
    void refuse(const JobOrigin &origin, const JobId &id, JobEndReason reason, Duration retryAfter);
    void endJob(ActiveJob &job, JobOutcome outcome, JobEndReason reason, Instant now);
    void terminateJob(ActiveJob &job, JobOutcome outcome, JobEndReason reason, Instant now);
    [[nodiscard]] Duration expectedWait(const JobRequest &request, Instant now);
    [[nodiscard]] Duration untilSent(std::uint32_t tasks) const;
    [[nodiscard]] Duration queueWait(std::uint32_t priority, double arrivingRate, Instant now) const;
    [[nodiscard]] Duration remainingWait(const ActiveJob &job, Instant now) const;
    [[nodiscard]] bool hasSuitableTargets(const JobRequest &request) const;
    [[nodiscard]] StartForecast targetForecast(const ServiceName &service, Instant now) const;
    [[nodiscard]] std::optional<StartForecast::Booking> book(StartForecast &forecast, const ActiveJob &job);
    [[nodiscard]] ExpectedTimes expectedTimes(const ActiveJob &job, Instant now);
    bool admit(ActiveJob &job, Instant now);
    void refuseTooLate(ActiveJob &job, Duration wait, Instant now);
    [[nodiscard]] double serviceRate(Instant now) const;
    [[nodiscard]] Duration lossDelay(Instant now) const;
    void placeWaiting(Instant now);
    void alignSpeeds();
    bool placeTasks(ActiveJob &job, std::uint32_t &waitingTasks, Instant now);
    void expireJobs(Instant now);
    void refuseUndrainable(Instant now);
    void endEvacuatedJobs(Instant now);
    [[nodiscard]] bool mayStart(Instant now) const;
    [[nodiscard]] Instant lastContact(const InstanceName &home) const;

    // Runs.
    void startRun(OwnedTarget &target, ActiveJob &job, const TaskName &task, bool isolated, Instant now);
    void sendStart(OwnedTarget &target, const ActiveJob &job, const RunName &name, TrackedRun &run, Instant now);
    void repeatStart(OwnedTarget &target, const RunName &name, TrackedRun &run, Instant now);
    void handleStartRejection(OwnedTarget &target, const RunName &name, CommandStatus status, Instant now);
    void stopRun(OwnedTarget &target, const RunName &name, TrackedRun &run, Instant now);
    void runTerminated(OwnedTarget &target, const RunName &name, const TrackedRun &run, bool hadNoEffect, Instant now);
    void runEnded(OwnedTarget &target, const ReportChanges::End &end, Instant now);
    void recordRunTime(const TargetName &target, ActiveJob &job, const ReportChanges::End &end, Instant now);
    void learnFromStep(const RouteName &route, Duration estimate, const std::vector<EndedRun> &ended);
    void runDone(OwnedTarget &target, ActiveJob &job, const ReportChanges::End &end, Instant now);
    void runFailed(ActiveJob &job, const TaskName &task, Instant now);
    void requeue(const TargetName &target, const RunName &name, const TrackedRun &run);
    void removeStoppingRun(const JobId &id);
    void recordNoResponse(OwnedTarget &target, const CommandResult &result, Instant now);
    void recordUnanswered(const OwnedTarget &target, Instant now);
    void recordResponseTime(const OwnedTarget &target, const TrackedRun &run, const CommandResult &result, Instant now);
    void updateHealth(OwnedTarget &target, PlacementOutcome outcome, Instant now);
    void abandonRuns(OwnedTarget &target, Instant now);
    void endRuns(OwnedTarget &target, std::string_view decision, Instant now);
    void fenceTarget(OwnedTarget &target, Instant now);
    void advanceTarget(OwnedTarget &target, Instant now);
    void inspect(OwnedTarget &target, Instant now);
    void checkProgress(OwnedTarget &target, Instant now);
    void applyReportChanges(OwnedTarget &target, const ReportChanges &changes, Instant now);
    [[nodiscard]] CrashHistory::LostTarget describeLoss(const OwnedTarget &target) const;
    void recordLoss(OwnedTarget &target, Instant now);
    void recordRestart(OwnedTarget &target,
                       const ReportChanges &changes,
                       const TargetReport &report,
                       Instant lastAnsweredAt,
                       Instant now);
    void crashAttributed(const std::optional<TargetCrash> &crash, Instant now);
    void giveUpSuspects(const TargetCrash &crash, Instant now);
    [[nodiscard]] bool isGivenUp(const JobRequest &request, Instant now) const;
    [[nodiscard]] Instant leasedSince(const OwnedTarget &target, Instant now) const;
    void renewLease(OwnedTarget &target, InspectCommand &command, Instant now);
    [[nodiscard]] OwnedTarget *find(const TargetName &name);

    DispatcherPolicy m_policy;
    TargetCommands &m_commands;
    DispatcherObserver &m_observer;
    HealthTracker m_health;
    TargetSelector m_selector;
    CommandPacer m_pacer;
    CrashHistory m_crashes;
    std::map<InstanceName, Instant> m_homes; ///< Time of the last message from each home instance.
    std::map<JobId, RecentJob> m_recentJobs;
    std::uint64_t m_lastInspection = 0;
    Instant m_lossyUntil {}; ///< Commands are assumed to go unanswered until then.
    std::vector<TargetIndex> m_freeIndexes;
    TargetIndex m_nextIndex = 0;
    mutable double m_rate = 0; ///< Result of serviceRate() at m_rateAt, in thousandths of a core.
    mutable Instant m_rateAt {};
};

} // namespace Eelgrasscleat
