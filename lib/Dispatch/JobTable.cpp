/// @file
/// Bookkeeping and scheduling order of the active jobs.
#include "JobTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace Eelgrasscleat
{

namespace
{

/// Time that commands and reports add to a run: two round trips and their processing.
constexpr Duration kCommandOverhead = std::chrono::milliseconds(15);
/// Averaging time of the arrival rate: bursts last for seconds.
constexpr Duration kArrivalAveragingTime = std::chrono::seconds(1);

} // namespace

SizeModel &JobTable::sizes(const RouteName &route)
{
    return m_sizes[route];
}

Duration JobTable::expectedRun(const RouteName &route, const JobStep &step)
{
    const double logRun = m_sizes[route].expectedLogRun(step.estimate);
    return Duration(static_cast<Duration::rep>(std::exp(logRun)));
}

std::optional<double> JobTable::estimateBias() const
{
    double sum = 0;
    double weight = 0;
    for (const auto &it : m_sizes) {
        const WeightedMean bias = it.second.hintBias();
        sum += bias.mean * bias.weight;
        weight += bias.weight;
    }
    return weight > 0 ? std::optional<double>(sum / weight) : std::nullopt;
}

void JobTable::changeReference(double logSlowness)
{
    for (auto &it : m_sizes) {
        it.second.changeReference(logSlowness);
    }
}

double JobTable::decayed(const ArrivalRate &rate, Instant now)
{
    const auto age = static_cast<double>((now - rate.at).count()) / static_cast<double>(kArrivalAveragingTime.count());
    return rate.milliCores * std::exp(-age);
}

void JobTable::recordArrival(const JobRequest &request, Instant now)
{
    double milliCoreMicros = 0;
    for (const JobStep &it : request.steps) {
        const auto run = static_cast<double>(expectedRun(request.route, it).count());
        milliCoreMicros += static_cast<double>(it.demand.milliCores) * it.tasks * run;
    }
    ArrivalRate &rate = m_arrivals[request.priority];
    rate.milliCores = decayed(rate, now) + milliCoreMicros / static_cast<double>(kArrivalAveragingTime.count());
    rate.at = now;
}

void JobTable::recordStart(const ActiveJob &job, const JobStep &step, double slowness, Instant now)
{
    const auto onTarget = std::chrono::duration_cast<Duration>(job.criticalPath * slowness);
    const bool inTime = now + onTarget + kCommandOverhead <= job.objectiveAt;
    const auto run = static_cast<double>(job.criticalPath.count());
    m_served.decided(job.request.priority, static_cast<double>(step.demand.milliCores) * run, inTime, now);
}

void JobTable::recordUnserved(const ActiveJob &job, Instant now)
{
    const auto run = static_cast<double>(job.criticalPath.count());
    for (const JobStep &it : job.request.steps) {
        const double work = static_cast<double>(it.demand.milliCores) * it.tasks * run;
        m_served.decided(job.request.priority, work, false, now);
    }
}

double JobTable::moreUrgentArrivals(std::uint32_t priority, Instant now) const
{
    double sum = 0;
    for (const auto &it : m_arrivals) {
        if (it.first < priority) {
            sum += decayed(it.second, now);
        }
    }
    return sum;
}

Duration JobTable::criticalPathTime(const JobRequest &request)
{
    std::vector<Duration> ends(request.steps.size());
    Duration longest {};
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        Duration start {};
        for (const std::uint32_t it : request.steps[i].predecessors) {
            start = std::max(start, ends[it]);
        }
        ends[i] = start + expectedRun(request.route, request.steps[i]);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

ActiveJob &JobTable::add(const JobOrigin &origin, JobRequest request, const DispatcherPolicy &policy)
{
    auto job = std::make_unique<ActiveJob>();
    job->number = JobNumber(++m_lastNumber);
    job->origin = origin;
    job->criticalPath = criticalPathTime(request);
    const auto allowed =
        std::chrono::duration_cast<Duration>(job->criticalPath * request.stretch) + request.latencyTarget;
    job->objectiveAt = request.submitted + allowed;
    const auto useful = std::chrono::duration_cast<Duration>(allowed * policy.maxLatenessFactor);
    job->usefulUntil = std::min(request.deadline, request.submitted + useful);
    for (const JobStep &it : request.steps) {
        job->steps.emplace_back(it.tasks);
        job->endedRuns.emplace_back();
        job->remainingTasks += it.tasks;
    }
    job->request = std::move(request);
    job->heldBytes = Eelgrasscleat::heldBytes(job->request);
    m_heldBytes += job->heldBytes;
    ActiveJob &added = *job;
    m_byOrigin[{ origin.home, origin.ticket }] = added.number;
    m_byId[added.request.id] = added.number;
    m_jobs.emplace(added.number, std::move(job));
    unblock(added);
    return added;
}

void JobTable::remove(JobNumber number)
{
    const auto it = m_jobs.find(number);
    assert(it != m_jobs.end() && "job must be in the table");
    ActiveJob &job = *it->second;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        for (std::size_t i = 0; i < job.steps[step].size(); ++i) {
            if (job.steps[step][i].state == TaskState::Ready) {
                setState(job, job.taskName(step, i), TaskState::Blocked);
            }
        }
    }
    m_byOrigin.erase({ job.origin.home, job.origin.ticket });
    const auto byId = m_byId.find(job.request.id);
    if (byId != m_byId.end() && byId->second == number) {
        m_byId.erase(byId);
    }
    m_heldBytes -= job.heldBytes;
    m_jobs.erase(it);
}

ActiveJob *JobTable::find(JobNumber number)
{
    const auto it = m_jobs.find(number);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

ActiveJob *JobTable::findByOrigin(const JobOrigin &origin)
{
    const auto it = m_byOrigin.find({ origin.home, origin.ticket });
    return it == m_byOrigin.end() ? nullptr : find(it->second);
}

ActiveJob *JobTable::findById(const JobId &id)
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : find(it->second);
}

void JobTable::setState(ActiveJob &job, const TaskName &task, TaskState state)
{
    TaskEntry &entry = job.entry(task);
    if (entry.state == state) {
        return;
    }
    const JobStep &step = job.request.steps[task.step];
    QueuedWork &queuedWork = m_queued[job.request.priority];
    const double work = static_cast<double>(step.demand.milliCores) * static_cast<double>(job.criticalPath.count());
    if (entry.state == TaskState::Ready) {
        --job.readyTasks;
        --queuedWork.tasks;
        queuedWork.milliCoreMicros = queuedWork.tasks == 0 ? 0 : queuedWork.milliCoreMicros - work;
    }
    if (state == TaskState::Ready) {
        ++job.readyTasks;
        ++queuedWork.tasks;
        queuedWork.milliCoreMicros += work;
    }
    if (state == TaskState::Done) {
        --job.remainingTasks;
    }
    entry.state = state;
    if (job.readyTasks > 0) {
        m_readyJobs.insert(job.number);
    } else {
        m_readyJobs.erase(job.number);
    }
}

void JobTable::unblock(ActiveJob &job)
{
    const auto isDone = [&job](std::uint32_t step) {
        return std::all_of(job.steps[step].begin(), job.steps[step].end(), [](const TaskEntry &it) {
            return it.state == TaskState::Done;
        });
    };
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const auto &after = job.request.steps[step].predecessors;
        if (job.steps[step].front().state != TaskState::Blocked || !std::all_of(after.begin(), after.end(), isDone)) {
            continue;
        }
        for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
            setState(job, job.taskName(step, i), TaskState::Ready);
        }
    }
}

/// A priority that is behind goes before the next more urgent one only, and never before the most urgent one.
std::map<std::uint32_t, JobTable::Rank> JobTable::priorityRanks(Instant now) const
{
    constexpr int kSpacing = 2; // Leaves a rank between two priorities.
    std::map<std::uint32_t, Rank> ranks;
    int rank = 0;
    for (const auto &it : m_queued) {
        const bool goesFirst = rank > kSpacing && m_served.isBehind(it.first, now);
        ranks[it.first] = { goesFirst ? rank - kSpacing - 1 : rank, rank };
        rank += kSpacing;
    }
    return ranks;
}

std::vector<ActiveJob *> JobTable::readyJobs(Instant now) const
{
    std::vector<ActiveJob *> jobs;
    jobs.reserve(m_readyJobs.size());
    for (const JobNumber it : m_readyJobs) {
        jobs.push_back(m_jobs.at(it).get());
    }
    const std::map<std::uint32_t, Rank> ranks = priorityRanks(now);
    const auto key = [now, &ranks](const ActiveJob *job) {
        const Rank &ofPriority = ranks.at(job->request.priority);
        const bool late = now + job->criticalPath + kCommandOverhead > job->objectiveAt;
        return std::make_tuple(
            late ? ofPriority.late : ofPriority.inTime, !job->hasBegun(), late, job->objectiveAt, job->number);
    };
    std::sort(jobs.begin(), jobs.end(), [&key](const ActiveJob *a, const ActiveJob *b) { return key(a) < key(b); });
    return jobs;
}

QueuedWork JobTable::queuedWork(std::uint32_t priority) const
{
    QueuedWork sum;
    for (const auto &it : m_queued) {
        if (it.first <= priority) {
            sum.tasks += it.second.tasks;
            sum.milliCoreMicros += it.second.milliCoreMicros;
        }
    }
    return sum;
}

} // namespace Eelgrasscleat
