/// @file
/// The jobs of a dispatcher and their tasks: which are ready, which wait for a run to end, what is left.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Placement/SpeedModel.h>

#include "TargetLedger.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

/// Where a task stands.
enum class TaskState
{
    Blocked, ///< Its step has to wait for others.
    Ready,
    Ordered, ///< A run of it may be at work.
    Done,
};

/// A task of a job.
struct BoardTask
{
    TaskState state = TaskState::Blocked;
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    std::uint32_t run = 0; ///< Number of the newest run.
    TargetName lastTarget; ///< Target of the newest run that did not end well; avoided where others have room.
};

/// A job that has not ended.
struct BoardJob
{
    JobNumber number;
    JobOrigin origin;
    JobRequest request;
    std::vector<std::vector<BoardTask>> steps;
    std::uint32_t tasksLeft = 0; ///< Not done.
    std::uint32_t tasksReady = 0;
    std::uint32_t mayHaveRun = 0; ///< Start orders that were not proved to have had no effect.
    Duration chain {}; ///< Expected run time of its longest chain on the reference target.
    Instant objective {}; ///< End of its latency objective.
    Instant uselessAt {}; ///< An end after this gains nothing.
};

/// Totals of the tasks that wait at one priority or a more urgent one.
struct QueuedWork
{
    std::uint32_t tasks = 0;
    double milliCoreMicros = 0; ///< Demand times expected run time on the reference target.
};

/// The jobs.
class JobBoard
{
public:
    /// Adds a job whose steps are valid. @returns the job.
    BoardJob &add(const JobOrigin &origin, JobRequest request, const DispatcherPolicy &policy);
    void remove(JobNumber number);
    [[nodiscard]] BoardJob *find(JobNumber number);
    [[nodiscard]] BoardJob *findByOrigin(const JobOrigin &origin);
    [[nodiscard]] BoardJob *findById(const JobId &id);

    /// Changes a task's state and all counts that follow from it.
    void setState(BoardJob &job, const TaskName &task, TaskState state);
    /// Makes steps ready whose predecessors are done.
    void unblock(BoardJob &job);

    /// @returns jobs with ready tasks in the order in which they get room: the more urgent first; within a priority
    /// those already begun, then those that can still meet their objective, by its end.
    [[nodiscard]] std::vector<BoardJob *> waiting(Instant now) const;
    /// @returns what waits at @p priority or before it.
    [[nodiscard]] QueuedWork queued(std::uint32_t priority) const;
    /// A job was submitted, whether it is taken or refused.
    void countArrival(const JobRequest &request, Instant now);
    /// @returns demand that arrives before @p priority, in thousandths of a core, as of late.
    [[nodiscard]] double arrivingBefore(std::uint32_t priority, Instant now) const;
    [[nodiscard]] const std::map<JobNumber, std::unique_ptr<BoardJob>> &jobs() const
    {
        return m_jobs;
    }

    /// Sizes of the tasks of a route, learned from runs.
    [[nodiscard]] SizeModel &sizes(const RouteName &route);
    /// @returns the expected run time of a step's tasks on the reference target.
    [[nodiscard]] Duration expectedRun(const RouteName &route, const JobStep &step);

private:
    /// Demand of the jobs of a priority, as a moving average.
    struct ArrivalRate
    {
        double milliCores = 0;
        Instant at {};
    };

    [[nodiscard]] static double decayed(const ArrivalRate &rate, Instant now);
    [[nodiscard]] Duration longestChain(const JobRequest &request);

    std::map<JobNumber, std::unique_ptr<BoardJob>> m_jobs;
    std::map<std::pair<InstanceName, std::uint64_t>, JobNumber> m_byOrigin;
    std::map<JobId, JobNumber> m_byId;
    std::set<JobNumber> m_withReady;
    std::map<std::uint32_t, QueuedWork> m_queued; ///< By priority.
    std::map<std::uint32_t, ArrivalRate> m_arrivals; ///< By priority.
    std::map<RouteName, SizeModel> m_sizes;
    std::uint64_t m_lastNumber = 0;
};

} // namespace Eelgrasscleat
