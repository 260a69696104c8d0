/// @file
/// Admission, order and end of jobs.
#include <eelgrasscleat/Dispatch/Dispatcher.h>

#include "DispatcherImpl.h"

#include <algorithm>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// Shortest pause that a refused caller is told: a round trip of the client and one placement.
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
/// Longest: what a caller gains from a job is over by then on the users' deployments.
constexpr Duration kLongestRetry = std::chrono::seconds(5);
/// Job names are remembered for this long after their last run, so that run numbers of a resubmission go on rising.
constexpr Duration kRecentJobs = std::chrono::seconds(20);
/// Share of the targets' room that the least urgent jobs are taken to get under any load: tasks end, and some fit no
/// more urgent one.
constexpr double kLeastShare = 0.1;
/// Jobs that can't be placed are skipped at most this often in one pass, which bounds its time.
constexpr std::uint32_t kSkippedJobs = 16;

} // namespace

void Dispatcher::Impl::refuse(const JobOrigin &origin, const JobId &id, JobEndReason reason, Duration retryAfter)
{
    const Duration pause = std::clamp(retryAfter, kShortestRetry, kLongestRetry);
    m_observer.jobEnded(origin.home, { id, origin.ticket, JobOutcome::Refused, reason, pause });
}

Instant Dispatcher::Impl::heardAt(const InstanceName &home) const
{
    const auto it = m_homes.find(home);
    return it == m_homes.end() ? Instant {} : it->second;
}

double Dispatcher::Impl::serviceRate(Instant now) const
{
    if (now == m_rateAt) {
        return m_rate;
    }
    double milliCores = 0;
    for (const auto &it : m_targets) {
        if (m_chooser.isUsable(*it.second, now)) {
            milliCores +=
                it.second->ledger.target().capacity.milliCores / std::exp(it.second->ledger.speed.logSlowness());
        }
    }
    m_rateAt = now;
    m_rate = milliCores;
    return milliCores;
}

/// @returns the time until the work that waits at @p priority or before it is placed, if @p arriving more comes first.
Duration Dispatcher::Impl::waitBehind(std::uint32_t priority, double arriving, Instant now) const
{
    const double rate = serviceRate(now);
    if (rate <= 0) {
        return kLongestRetry;
    }
    const double left = std::max(kLeastShare * rate, rate - arriving);
    return Duration(static_cast<Duration::rep>(m_board.queued(priority).milliCoreMicros / left));
}

Duration Dispatcher::Impl::expectedWait(const JobRequest &request, Instant now)
{
    double demand = 0;
    for (const JobStep &it : request.steps) {
        demand += static_cast<double>(it.demand.milliCores) * it.tasks;
    }
    if (static_cast<double>(load(now).freeMilliCores) >= demand) {
        return {};
    }
    // More urgent jobs that arrive meanwhile go first, too.
    return waitBehind(request.priority, m_board.arrivingBefore(request.priority, now), now);
}

/// A job that has missed its objective comes after all of its priority that have not, also those that arrive later.
/// @returns the time until it has room.
Duration Dispatcher::Impl::waitOf(const BoardJob &job, Instant now) const
{
    if (now + job.chain <= job.objective) {
        return {};
    }
    const std::uint32_t priority = job.request.priority;
    return waitBehind(priority, m_board.arrivingBefore(priority + 1, now), now);
}

void Dispatcher::Impl::refuseTooLate(BoardJob &job, Duration wait, Instant now)
{
    LatenessEstimate inputs;
    inputs.expectedWait = wait;
    inputs.expectedRun = job.chain;
    inputs.timeLeft = job.uselessAt - now;
    inputs.queuedTasks = m_board.queued(job.request.priority).tasks;
    m_observer.jobTooLate(job.request.id, inputs);
    giveUp(job, JobOutcome::Refused, JobEndReason::TooLate, now);
}

void Dispatcher::Impl::submit(const JobOrigin &origin, JobRequest request, Instant now)
{
    if (BoardJob *earlier = m_board.findById(request.id)) {
        giveUp(*earlier, JobOutcome::Abandoned, JobEndReason::Superseded, now);
    }
    const JobId id = request.id;
    m_board.countArrival(request, now);
    for (const JobStep &it : request.steps) {
        if (!m_chooser.anyFits(request.service, it)) {
            refuse(origin, id, JobEndReason::NoSuitableTarget, kLongestRetry);
            return;
        }
    }
    if (m_board.queued(request.priority).tasks >= m_policy.maxQueuedTasks) {
        refuse(origin, id, JobEndReason::QueueFull, expectedWait(request, now));
        return;
    }
    const Duration wait = expectedWait(request, now);
    BoardJob &job = m_board.add(origin, std::move(request), m_policy);
    if (now + wait + job.chain > job.uselessAt) {
        refuseTooLate(job, wait, now);
        return;
    }
    if (m_draining) {
        refuseUndrained(now);
    }
    placeWaiting(now);
}

void Dispatcher::Impl::cancel(const JobOrigin &origin, Instant now)
{
    if (BoardJob *job = m_board.findByOrigin(origin)) {
        giveUp(*job, JobOutcome::Canceled, JobEndReason::CallerGone, now);
        placeWaiting(now);
    }
}

void Dispatcher::Impl::homeContacted(const InstanceName &home, Instant now)
{
    m_homes[home] = now;
}

void Dispatcher::Impl::homeLost(const InstanceName &home, Instant now)
{
    std::vector<BoardJob *> lost;
    for (const auto &it : m_board.jobs()) {
        if (it.second->origin.home == home) {
            lost.push_back(it.second.get());
        }
    }
    for (BoardJob *it : lost) {
        giveUp(*it, JobOutcome::Abandoned, JobEndReason::CallerGone, now);
    }
    m_homes.erase(home);
    placeWaiting(now);
}

void Dispatcher::Impl::drain(Instant until, Instant now)
{
    m_draining = true;
    m_drainUntil = until;
    refuseUndrained(now);
}

/// Refuses the jobs that have not begun and can't end before the targets are handed over.
void Dispatcher::Impl::refuseUndrained(Instant now)
{
    std::vector<BoardJob *> late;
    for (const auto &it : m_board.jobs()) {
        BoardJob &job = *it.second;
        const auto run = std::chrono::duration_cast<Duration>(job.chain * kDrainRunTimeFactor);
        if (job.mayHaveRun == 0 && now + waitOf(job, now) + run > m_drainUntil) {
            late.push_back(&job);
        }
    }
    for (BoardJob *it : late) {
        giveUp(*it, JobOutcome::Refused, JobEndReason::Stopping, now);
    }
}

void Dispatcher::Impl::giveUp(BoardJob &job, JobOutcome outcome, JobEndReason reason, Instant now)
{
    if (outcome == JobOutcome::Refused && job.mayHaveRun > 0) {
        outcome = JobOutcome::Abandoned;
    }
    for (const auto &target : m_targets) {
        for (auto &it : target.second->ledger.runs()) {
            if (it.second.job == job.number && it.second.state != RunState::Stopping) {
                stopRun(*target.second, it.first, it.second, now);
            }
        }
    }
    endJob(job, outcome, reason, now);
}

void Dispatcher::Impl::endJob(BoardJob &job, JobOutcome outcome, JobEndReason reason, Instant now)
{
    std::uint32_t dying = 0;
    for (const auto &target : m_targets) {
        for (auto &it : target.second->ledger.runs()) {
            if (it.second.job == job.number) {
                ++dying;
            }
        }
    }
    if (dying > 0) {
        m_recent[job.request.id].dying += dying;
    }
    Duration retryAfter {};
    if (outcome == JobOutcome::Refused) {
        retryAfter = std::clamp(expectedWait(job.request, now), kShortestRetry, kLongestRetry);
    }
    const InstanceName home = job.origin.home;
    const JobEnd end { job.request.id, job.origin.ticket, outcome, reason, retryAfter };
    m_board.remove(job.number);
    m_observer.jobEnded(home, end);
}

/// Places ready tasks as far as there is room, in the order of the board.
void Dispatcher::Impl::placeWaiting(Instant now)
{
    std::uint32_t skipped = 0;
    for (BoardJob *job : m_board.waiting(now)) {
        const auto recent = m_recent.find(job->request.id);
        if (recent != m_recent.end() && recent->second.dying > 0) {
            continue; // Runs of an earlier submission may be at work.
        }
        if (now - heardAt(job->origin.home) > m_policy.homeStartTimeout) {
            continue;
        }
        if (!placeTasks(*job, now) && ++skipped >= kSkippedJobs) {
            return;
        }
    }
}

/// @returns whether all ready tasks of the job were placed.
bool Dispatcher::Impl::placeTasks(BoardJob &job, Instant now)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const Duration run = m_board.expectedRun(job.request.route, job.request.steps[step]);
        for (std::uint32_t i = 0; i < job.steps[step].size(); ++i) {
            if (job.steps[step][i].state != TaskState::Ready) {
                continue;
            }
            const TaskName task { job.request.id, step, i };
            OwnedTarget *target = m_chooser.choose(job, task, run, now);
            if (target == nullptr) {
                return false;
            }
            startRun(*target, job, task, now);
        }
    }
    return true;
}

void Dispatcher::Impl::expireJobs(Instant now)
{
    std::vector<BoardJob *> late;
    std::vector<BoardJob *> hopeless;
    for (const auto &it : m_board.jobs()) {
        BoardJob &job = *it.second;
        if (now >= job.request.deadline) {
            late.push_back(&job);
        } else if (job.mayHaveRun == 0 && now + waitOf(job, now) + job.chain > job.uselessAt) {
            hopeless.push_back(&job);
        }
    }
    for (BoardJob *it : late) {
        const JobOutcome outcome = it->mayHaveRun > 0 ? JobOutcome::Expired : JobOutcome::Refused;
        giveUp(*it, outcome, JobEndReason::DeadlinePassed, now);
    }
    for (BoardJob *it : hopeless) {
        refuseTooLate(*it, waitOf(*it, now), now);
    }
}

void Dispatcher::Impl::advance(Instant now)
{
    std::vector<InstanceName> silent;
    for (const auto &it : m_homes) {
        if (now - it.second > m_policy.homeTimeout) {
            silent.push_back(it.first);
        }
    }
    for (const InstanceName &it : silent) {
        homeLost(it, now);
    }
    expireJobs(now);
    if (m_draining) {
        refuseUndrained(now);
    }
    for (const auto &it : m_targets) {
        advanceTarget(*it.second, now);
    }
    std::erase_if(m_recent,
                  [&](const auto &it) { return it.second.dying == 0 && now - it.second.lastUse > kRecentJobs; });
    placeWaiting(now);
}

DispatcherLoad Dispatcher::Impl::load(Instant now) const
{
    DispatcherLoad load;
    load.draining = m_draining;
    load.drainLeft = m_draining ? std::max(Duration::zero(), m_drainUntil - now) : Duration::zero();
    for (const auto &it : m_targets) {
        if (!m_chooser.isUsable(*it.second, now)) {
            continue;
        }
        const std::uint32_t capacity = it.second->ledger.target().capacity.milliCores;
        ++load.targets;
        load.totalMilliCores += capacity;
        load.freeMilliCores += it.second->ledger.room().milliCores;
        load.largestMilliCores = std::max(load.largestMilliCores, capacity);
    }
    constexpr double kMicrosPerMilli = 1000;
    const QueuedWork queued = m_board.queued(UINT32_MAX);
    load.queuedCoreMillis = static_cast<std::uint64_t>(queued.milliCoreMicros / kMicrosPerMilli / 1000);
    return load;
}

Dispatcher::Dispatcher(const DispatcherPolicy &policy, TargetCommands &commands, DispatcherObserver &observer)
    : m_impl(std::make_unique<Impl>(policy, commands, observer))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::targetOwned(const DispatchTarget &target, FencingToken token, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->targetOwned(target, token, now);
}

void Dispatcher::targetReleased(const TargetName &target, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->targetReleased(target, now);
}

void Dispatcher::setAccepting(const TargetName &target, bool accepting)
{
    const auto it = m_impl->m_targets.find(target);
    if (it != m_impl->m_targets.end()) {
        it->second->accepting = accepting;
    }
}

bool Dispatcher::isIdle(const TargetName &target) const
{
    const auto it = m_impl->m_targets.find(target);
    return it == m_impl->m_targets.end() || it->second->ledger.runs().empty();
}

std::vector<TargetName> Dispatcher::targets() const
{
    std::vector<TargetName> names;
    for (const auto &it : m_impl->m_targets) {
        names.push_back(it.first);
    }
    return names;
}

void Dispatcher::submit(const JobOrigin &origin, JobRequest request, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->submit(origin, std::move(request), now);
}

void Dispatcher::cancel(const JobOrigin &origin, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->cancel(origin, now);
}

void Dispatcher::homeContacted(const InstanceName &home, Instant now)
{
    m_impl->homeContacted(home, now);
}

void Dispatcher::homeLost(const InstanceName &home, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->homeLost(home, now);
}

void Dispatcher::drain(Instant until, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->drain(until, now);
}

bool Dispatcher::isDrained() const
{
    return m_impl->m_board.jobs().empty()
        && std::all_of(m_impl->m_targets.begin(), m_impl->m_targets.end(), [](const auto &it) {
               return it.second->ledger.runs().empty();
           });
}

void Dispatcher::startAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->startAnswered(target, run, result, now);
}

void Dispatcher::stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result, Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->stopAnswered(target, run, result, now);
}

void Dispatcher::inspected(const TargetName &target,
                           std::uint64_t number,
                           const TargetReport &report,
                           const CommandResult &result,
                           Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->inspected(target, number, report, result, now);
}

void Dispatcher::inspectionFailed(const TargetName &target,
                                  std::uint64_t number,
                                  const CommandResult &result,
                                  Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->inspectionFailed(target, number, result, now);
}

void Dispatcher::advance(Instant now)
{
    m_impl->m_lastNow = now;
    m_impl->advance(now);
}

DispatcherLoad Dispatcher::load() const
{
    return m_impl->load(m_impl->m_lastNow);
}

} // namespace Eelgrasscleat
