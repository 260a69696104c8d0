/// @file
/// Jobs, ready tasks and their order.
#include "JobBoard.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace Eelgrasscleat
{

namespace
{

/// Time for orders and reports between a start and the report of its end: two round trips and their processing.
constexpr Duration kOrderOverhead = std::chrono::milliseconds(15);
/// Time over which the rate of arrivals is averaged: bursts last seconds.
constexpr Duration kArrivalWindow = std::chrono::seconds(1);

} // namespace

SizeModel &JobBoard::sizes(const RouteName &route)
{
    return m_sizes[route];
}

Duration JobBoard::expectedRun(const RouteName &route, const JobStep &step)
{
    const double logRun = m_sizes[route].expectedLogRun(step.estimate);
    return Duration(static_cast<Duration::rep>(std::exp(logRun)));
}

double JobBoard::decayed(const ArrivalRate &rate, Instant now)
{
    const auto age = static_cast<double>((now - rate.at).count()) / static_cast<double>(kArrivalWindow.count());
    return rate.milliCores * std::exp(-age);
}

void JobBoard::countArrival(const JobRequest &request, Instant now)
{
    double milliCoreMicros = 0;
    for (const JobStep &it : request.steps) {
        const auto run = static_cast<double>(expectedRun(request.route, it).count());
        milliCoreMicros += static_cast<double>(it.demand.milliCores) * it.tasks * run;
    }
    ArrivalRate &rate = m_arrivals[request.priority];
    rate.milliCores = decayed(rate, now) + milliCoreMicros / static_cast<double>(kArrivalWindow.count());
    rate.at = now;
}

double JobBoard::arrivingBefore(std::uint32_t priority, Instant now) const
{
    double sum = 0;
    for (const auto &it : m_arrivals) {
        if (it.first < priority) {
            sum += decayed(it.second, now);
        }
    }
    return sum;
}

Duration JobBoard::longestChain(const JobRequest &request)
{
    std::vector<Duration> ends(request.steps.size());
    Duration longest {};
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        Duration begin {};
        for (const std::uint32_t it : request.steps[i].predecessors) {
            begin = std::max(begin, ends[it]);
        }
        ends[i] = begin + expectedRun(request.route, request.steps[i]);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

BoardJob &JobBoard::add(const JobOrigin &origin, JobRequest request, const DispatcherPolicy &policy)
{
    auto job = std::make_unique<BoardJob>();
    job->number = JobNumber(++m_lastNumber);
    job->origin = origin;
    job->chain = longestChain(request);
    const auto allowed = std::chrono::duration_cast<Duration>(job->chain * request.stretch) + request.latencyTarget;
    job->objective = request.submitted + allowed;
    const auto useful = std::chrono::duration_cast<Duration>(allowed * policy.maxLatenessFactor);
    job->uselessAt = std::min(request.deadline, request.submitted + useful);
    for (const JobStep &it : request.steps) {
        job->steps.emplace_back(it.tasks);
        job->tasksLeft += it.tasks;
    }
    job->request = std::move(request);
    BoardJob &added = *job;
    m_byOrigin[{ origin.home, origin.ticket }] = added.number;
    m_byId[added.request.id] = added.number;
    m_jobs.emplace(added.number, std::move(job));
    unblock(added);
    return added;
}

void JobBoard::remove(JobNumber number)
{
    const auto it = m_jobs.find(number);
    assert(it != m_jobs.end() && "a job is removed once");
    BoardJob &job = *it->second;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        for (std::size_t i = 0; i < job.steps[step].size(); ++i) {
            if (job.steps[step][i].state == TaskState::Ready) {
                setState(job,
                         { job.request.id, static_cast<std::uint32_t>(step), static_cast<std::uint32_t>(i) },
                         TaskState::Blocked);
            }
        }
    }
    m_byOrigin.erase({ job.origin.home, job.origin.ticket });
    const auto byId = m_byId.find(job.request.id);
    if (byId != m_byId.end() && byId->second == number) {
        m_byId.erase(byId);
    }
    m_jobs.erase(it);
}

BoardJob *JobBoard::find(JobNumber number)
{
    const auto it = m_jobs.find(number);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

BoardJob *JobBoard::findByOrigin(const JobOrigin &origin)
{
    const auto it = m_byOrigin.find({ origin.home, origin.ticket });
    return it == m_byOrigin.end() ? nullptr : find(it->second);
}

BoardJob *JobBoard::findById(const JobId &id)
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : find(it->second);
}

void JobBoard::setState(BoardJob &job, const TaskName &task, TaskState state)
{
    BoardTask &entry = job.steps.at(task.step).at(task.index);
    if (entry.state == state) {
        return;
    }
    const JobStep &step = job.request.steps[task.step];
    QueuedWork &queued = m_queued[job.request.priority];
    const double work = static_cast<double>(step.demand.milliCores) * static_cast<double>(job.chain.count());
    if (entry.state == TaskState::Ready) {
        --job.tasksReady;
        --queued.tasks;
        queued.milliCoreMicros = queued.tasks == 0 ? 0 : queued.milliCoreMicros - work;
    }
    if (state == TaskState::Ready) {
        ++job.tasksReady;
        ++queued.tasks;
        queued.milliCoreMicros += work;
    }
    if (state == TaskState::Done) {
        --job.tasksLeft;
    }
    entry.state = state;
    if (job.tasksReady > 0) {
        m_withReady.insert(job.number);
    } else {
        m_withReady.erase(job.number);
    }
}

void JobBoard::unblock(BoardJob &job)
{
    const auto isDone = [&job](std::uint32_t step) {
        return std::all_of(job.steps[step].begin(), job.steps[step].end(), [](const BoardTask &it) {
            return it.state == TaskState::Done;
        });
    };
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const auto &after = job.request.steps[step].predecessors;
        if (job.steps[step].front().state != TaskState::Blocked || !std::all_of(after.begin(), after.end(), isDone)) {
            continue;
        }
        for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
            setState(job, { job.request.id, step, i }, TaskState::Ready);
        }
    }
}

std::vector<BoardJob *> JobBoard::waiting(Instant now) const
{
    std::vector<BoardJob *> jobs;
    jobs.reserve(m_withReady.size());
    for (const JobNumber it : m_withReady) {
        jobs.push_back(m_jobs.at(it).get());
    }
    const auto key = [now](const BoardJob *job) {
        const bool late = now + job->chain + kOrderOverhead > job->objective;
        return std::make_tuple(job->request.priority, job->mayHaveRun == 0, late, job->objective, job->number);
    };
    std::sort(jobs.begin(), jobs.end(), [&key](const BoardJob *a, const BoardJob *b) { return key(a) < key(b); });
    return jobs;
}

QueuedWork JobBoard::queued(std::uint32_t priority) const
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
