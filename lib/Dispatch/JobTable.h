/// @file
/// The active jobs of a dispatcher and the states of their tasks.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Placement/SpeedModel.h>

#include "ServedShares.h"
#include "TargetTracker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

/// A job is expected to meet its objective only if it still does with its expected run time multiplied by this. Covers
/// the spread of callers' estimates.
constexpr double kRunTimeFactor = 1.35;

/// State of a task.
enum class TaskState
{
    Blocked, ///< Predecessors of its step are not done.
    Ready,
    Dispatched, ///< A run of it may be active.
    Done,
};

/// State and history of a task.
struct TaskEntry
{
    TaskState state = TaskState::Blocked;
    std::uint32_t failures = 0; ///< Number of failed runs.
    std::uint32_t run = 0; ///< Number of the latest run.
    TargetName lastTarget; ///< Target of the latest unsuccessful run; avoided if others have capacity.
};

/// A run that ended successfully.
struct EndedRun
{
    TargetName target;
    double logRun; ///< Logarithm of the run time in microseconds.
};

/// A job that has not ended.
struct ActiveJob
{
    JobNumber number;
    JobOrigin origin;
    JobRequest request;
    std::vector<std::vector<TaskEntry>> steps;
    std::vector<std::vector<EndedRun>> endedRuns; ///< By step, those with a known run time.
    std::uint32_t remainingTasks = 0; ///< Tasks that are not done.
    std::uint32_t readyTasks = 0;
    std::uint32_t possibleRuns = 0; ///< Start commands that may have had an effect.
    Duration criticalPath {}; ///< Expected run time of its critical path on the reference target.
    std::size_t heldBytes = 0; ///< Memory of the request, as counted by the table.
    Instant objectiveAt {}; ///< Completion by this time meets the latency objective.
    Instant usefulUntil {}; ///< Completion after this time is of no use to the caller.
    Duration lateEnd {}; ///< See JobEnd::lateEnd.

    /// @returns whether the job can no longer be refused as not run.
    [[nodiscard]] bool hasBegun() const
    {
        return possibleRuns > 0 || request.othersAccepted;
    }
    /// @returns the state of one of the job's tasks.
    [[nodiscard]] TaskEntry &entry(const TaskName &task)
    {
        return steps.at(task.step).at(task.index - request.steps[task.step].firstTask);
    }
    [[nodiscard]] const TaskEntry &entry(const TaskName &task) const
    {
        return steps.at(task.step).at(task.index - request.steps[task.step].firstTask);
    }
    /// @returns the name of the task whose state is steps[step][i].
    [[nodiscard]] TaskName taskName(std::size_t step, std::size_t i) const
    {
        return { request.id,
                 static_cast<std::uint32_t>(step),
                 request.steps[step].firstTask + static_cast<std::uint32_t>(i) };
    }
};

/// Totals of queued tasks.
struct QueuedWork
{
    std::uint32_t tasks = 0;
    double milliCoreMicros = 0; ///< Sum of each task's demand times its job's critical path.
};

/// Table of the active jobs, with indexes by origin, identifier and readiness.
class JobTable
{
public:
    /// Adds a job, whose steps must be valid. @returns the added job.
    ActiveJob &add(const JobOrigin &origin, JobRequest request, const DispatcherPolicy &policy);
    void remove(JobNumber number);
    [[nodiscard]] ActiveJob *find(JobNumber number);
    [[nodiscard]] ActiveJob *findByOrigin(const JobOrigin &origin);
    [[nodiscard]] ActiveJob *findById(const JobId &id);

    /// Changes a task's state and updates all counters derived from it.
    void setState(ActiveJob &job, const TaskName &task, TaskState state);
    /// Marks the tasks of blocked steps as ready if all predecessors are done.
    void unblock(ActiveJob &job);

    /// Counts a task that is started now.
    /// @param slowness run time on its target, relative to the reference target
    void recordStart(const ActiveJob &job, const JobStep &step, double slowness, Instant now);
    /// Counts the tasks of a job that ends unserved.
    void recordUnserved(const ActiveJob &job, Instant now);
    /// @returns whether a priority's jobs are placed before more urgent ones, since it gets too small a share.
    [[nodiscard]] bool isBehind(std::uint32_t priority, Instant now) const
    {
        return m_served.isBehind(priority, now);
    }

    /// @returns jobs with ready tasks in scheduling order: by priority, where one that gets too small a share precedes
    /// the next more urgent one with the jobs that can be in time; within a priority, jobs already started come first,
    /// then jobs that can still meet their latency objective, each sorted by the time of the objective.
    [[nodiscard]] std::vector<ActiveJob *> readyJobs(Instant now) const;
    /// @returns the queued work of @p priority and all more urgent priorities.
    [[nodiscard]] QueuedWork queuedWork(std::uint32_t priority) const;
    /// Counts a submitted job, whether it is accepted or refused.
    void recordArrival(const JobRequest &request, Instant now);
    /// @returns the recent arrival rate of work more urgent than @p priority, in thousandths of a core.
    [[nodiscard]] double moreUrgentArrivals(std::uint32_t priority, Instant now) const;
    /// @returns the memory of all jobs, in bytes.
    [[nodiscard]] std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    [[nodiscard]] const std::map<JobNumber, std::unique_ptr<ActiveJob>> &jobs() const
    {
        return m_jobs;
    }

    /// @returns the model of a route's task sizes, learned from completed runs.
    [[nodiscard]] SizeModel &sizes(const RouteName &route);
    /// @returns the expected run time of a step's tasks on the reference target.
    [[nodiscard]] Duration expectedRun(const RouteName &route, const JobStep &step);
    /// @returns the mean logarithm of the ratio of run times to callers' estimates, over all routes that have any.
    [[nodiscard]] std::optional<double> estimateBias() const;
    /// Expresses all expected run times for another reference target.
    /// @param logSlowness logarithm of its slowness, relative to the present one
    void changeReference(double logSlowness);

private:
    /// Exponentially decaying arrival rate of the work of a priority.
    struct ArrivalRate
    {
        double milliCores = 0;
        Instant at {};
    };

    /// Place of a priority's jobs in the scheduling order; lower goes first.
    struct Rank
    {
        int inTime = 0; ///< Of jobs that can be in time.
        int late = 0; ///< Of all others.
    };

    [[nodiscard]] std::map<std::uint32_t, Rank> priorityRanks(Instant now) const;
    [[nodiscard]] static double decayed(const ArrivalRate &rate, Instant now);
    [[nodiscard]] Duration criticalPathTime(const JobRequest &request);

    std::map<JobNumber, std::unique_ptr<ActiveJob>> m_jobs;
    std::map<std::pair<InstanceName, std::uint64_t>, JobNumber> m_byOrigin;
    std::map<JobId, JobNumber> m_byId;
    std::set<JobNumber> m_readyJobs;
    std::map<std::uint32_t, QueuedWork> m_queued; ///< By priority.
    std::map<std::uint32_t, ArrivalRate> m_arrivals; ///< By priority.
    std::map<RouteName, SizeModel> m_sizes;
    ServedShares m_served;
    std::uint64_t m_lastNumber = 0;
    std::size_t m_heldBytes = 0;
};

} // namespace Eelgrasscleat
