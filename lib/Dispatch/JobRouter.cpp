/// @file
/// Choice of a dispatcher, and responses to callers.
#include <eelgrasscleat/Dispatch/JobRouter.h>

#include <algorithm>
#include <limits>

namespace Eelgrasscleat
{

namespace
{

constexpr double kMillisPerCore = 1000;
/// Time after which missing capacity is expected to become free: the mean run time of the users' tasks.
constexpr double kTypicalRunMs = 200;

double totalDemand(const JobRequest &request)
{
    double demand = 0;
    for (const JobStep &it : request.steps) {
        demand += static_cast<double>(it.demand.milliCores) * it.tasks;
    }
    return demand;
}

/// @returns the caller's estimate of the job's run time if its steps run one after the other.
Duration sequentialEstimate(const JobRequest &request)
{
    Duration sum {};
    for (const JobStep &it : request.steps) {
        sum += it.estimate;
    }
    return sum;
}

std::uint32_t largestTaskDemand(const JobRequest &request)
{
    std::uint32_t largest = 0;
    for (const JobStep &it : request.steps) {
        largest = std::max(largest, it.demand.milliCores);
    }
    return largest;
}

} // namespace

JobRouter::JobRouter(const JobRouterPolicy &policy, ZoneName zone, JobRouterObserver &observer)
    : m_policy(policy)
    , m_zone(std::move(zone))
    , m_observer(observer)
{
}

void JobRouter::submit(CallerId caller, JobRequest request)
{
    const std::uint64_t ticket = ++m_lastTicket;
    OpenJob &job = m_open[ticket];
    job.caller = caller;
    job.request = std::move(request);
    m_byCaller[caller] = ticket;
    if (m_open.size() > m_policy.maxOpenJobs) {
        answer(ticket, JobOutcome::Refused, JobEndReason::QueueFull, m_policy.takeoverTime);
        return;
    }
    if (!route(ticket, job)) {
        refuseUnroutable(ticket);
    }
}

/// Refuses a job that no dispatcher can take.
void JobRouter::refuseUnroutable(std::uint64_t ticket)
{
    const bool evacuated = std::any_of(
        m_dispatchers.begin(), m_dispatchers.end(), [this](const auto &it) { return isEvacuated(it.second); });
    if (evacuated) {
        answer(ticket, JobOutcome::Refused, JobEndReason::ZoneEvacuated, m_policy.evacuationRetryDelay);
    } else {
        answer(ticket, JobOutcome::Refused, JobEndReason::NoDispatcher, m_policy.takeoverTime);
    }
}

bool JobRouter::isEvacuated(const DispatcherState &state) const
{
    return state.ownsTargets && m_evacuatedZones.count(state.zone) > 0;
}

void JobRouter::setEvacuatedZones(std::set<ZoneName> zones)
{
    m_evacuatedZones = std::move(zones);
}

/// Routes a job to the best dispatcher that has not refused it. @returns whether there was one.
bool JobRouter::route(std::uint64_t ticket, OpenJob &job)
{
    const auto dispatcher = chooseDispatcher(job.request, job.refusedBy);
    if (!dispatcher) {
        return false;
    }
    job.dispatcher = *dispatcher;
    m_dispatchers[*dispatcher].routedMilliCores += totalDemand(job.request);
    m_observer.jobRouted(*dispatcher, ticket, job.request);
    return true;
}

/// @returns the expected time in milliseconds until the dispatcher can place the job, or infinity if it never can.
double JobRouter::expectedWait(const DispatcherState &state, const JobRequest &request) const
{
    const DispatcherLoad &load = state.load;
    if (!state.ownsTargets || isEvacuated(state) || load.targets == 0
        || largestTaskDemand(request) > load.largestMilliCores) {
        return std::numeric_limits<double>::infinity();
    }
    const Duration estimate = sequentialEstimate(request);
    if (load.draining && (estimate == Duration::zero() || estimate * kDrainRunTimeFactor > load.drainLeft)) {
        return std::numeric_limits<double>::infinity();
    }
    const double demand = totalDemand(request);
    const double cores = static_cast<double>(load.totalMilliCores) / kMillisPerCore;
    const double missing = demand + state.routedMilliCores - static_cast<double>(load.freeMilliCores);
    double wait = static_cast<double>(load.queuedCoreMillis) / cores;
    if (missing > 0) {
        wait += missing / kMillisPerCore * kTypicalRunMs / cores;
    }
    if (state.zone != m_zone || load.draining) {
        wait += std::chrono::duration<double, std::milli>(m_policy.crossZonePenalty).count();
    }
    return wait;
}

std::optional<InstanceName> JobRouter::chooseDispatcher(const JobRequest &request,
                                                        const std::set<InstanceName> &excluded)
{
    std::optional<InstanceName> best;
    double bestWait = std::numeric_limits<double>::infinity();
    for (const auto &it : m_dispatchers) {
        if (excluded.count(it.first) > 0) {
            continue;
        }
        const double wait = expectedWait(it.second, request);
        if (wait < bestWait) {
            bestWait = wait;
            best = it.first;
        }
    }
    return best;
}

void JobRouter::answer(std::uint64_t ticket, JobOutcome outcome, JobEndReason reason, Duration retryAfter)
{
    const auto it = m_open.find(ticket);
    const CallerId caller = it->second.caller;
    const JobEnd end { it->second.request.id, ticket, outcome, reason, retryAfter };
    m_byCaller.erase(caller);
    m_open.erase(it);
    m_observer.jobAnswered(caller, end);
}

void JobRouter::callerGone(CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end()) {
        return;
    }
    const std::uint64_t ticket = it->second;
    m_observer.jobWithdrawn(m_open[ticket].dispatcher, ticket);
    m_open.erase(ticket);
    m_byCaller.erase(it);
}

void JobRouter::jobEnded(const InstanceName &dispatcher, const JobEnd &end, Instant now)
{
    const auto it = m_open.find(end.ticket);
    if (it == m_open.end() || it->second.dispatcher != dispatcher) {
        return; // Already ended here, or routed to another dispatcher since.
    }
    OpenJob &job = it->second;
    if (end.outcome == JobOutcome::Refused) {
        job.refusedBy.insert(dispatcher);
        const bool mayTryOthers =
            end.reason == JobEndReason::ZoneEvacuated || job.refusedBy.size() < m_policy.maxDispatchersTried;
        const bool canTryOthers = mayTryOthers && now < job.request.deadline;
        if (canTryOthers && route(end.ticket, job)) {
            return;
        }
    }
    answer(end.ticket, end.outcome, end.reason, end.retryAfter);
}

void JobRouter::dispatcherReported(const InstanceName &name,
                                   const ZoneName &zone,
                                   const DispatcherLoad &load,
                                   Instant now)
{
    DispatcherState &state = m_dispatchers[name];
    state.zone = zone;
    state.load = load;
    state.lastReportAt = now;
    state.ownsTargets = true;
    state.routedMilliCores = 0;
}

void JobRouter::dispatcherRetired(const InstanceName &name)
{
    const auto it = m_dispatchers.find(name);
    if (it != m_dispatchers.end()) {
        it->second.ownsTargets = false;
    }
}

void JobRouter::dispatcherLost(const InstanceName &name)
{
    m_dispatchers.erase(name);
    std::vector<std::uint64_t> lost;
    for (const auto &it : m_open) {
        if (it.second.dispatcher == name) {
            lost.push_back(it.first);
        }
    }
    for (const std::uint64_t it : lost) {
        // The dispatcher may be alive but unreachable from here: it must not continue.
        m_observer.jobWithdrawn(name, it);
        answer(it, JobOutcome::Abandoned, JobEndReason::DispatcherLost, {});
    }
}

void JobRouter::shortenDeadlines(Instant latest)
{
    for (auto &it : m_open) {
        it.second.request.deadline = std::min(it.second.request.deadline, latest);
    }
}

void JobRouter::advance(Instant now)
{
    std::vector<InstanceName> silent;
    for (const auto &it : m_dispatchers) {
        if (now - it.second.lastReportAt > m_policy.dispatcherTimeout) {
            silent.push_back(it.first);
        }
    }
    for (const InstanceName &it : silent) {
        dispatcherLost(it);
    }
    std::vector<std::uint64_t> late;
    for (const auto &it : m_open) {
        if (now >= it.second.request.deadline) {
            late.push_back(it.first);
        }
    }
    for (const std::uint64_t it : late) {
        m_observer.jobWithdrawn(m_open[it].dispatcher, it);
        answer(it, JobOutcome::Expired, JobEndReason::DeadlinePassed, {});
    }
}

std::size_t JobRouter::openJobs() const
{
    return m_open.size();
}

std::size_t JobRouter::dispatcherCount() const
{
    return static_cast<std::size_t>(std::count_if(m_dispatchers.begin(), m_dispatchers.end(), [this](const auto &it) {
        const bool accepts = it.second.ownsTargets && !it.second.load.draining && it.second.load.targets > 0;
        return accepts || isEvacuated(it.second);
    }));
}

std::set<InstanceName> JobRouter::dispatchersInUse() const
{
    std::set<InstanceName> names;
    for (const auto &it : m_open) {
        names.insert(it.second.dispatcher);
    }
    return names;
}

bool JobRouter::isOpen(const JobId &id) const
{
    return std::any_of(m_open.begin(), m_open.end(), [&id](const auto &it) { return it.second.request.id == id; });
}

bool JobRouter::cancel(const JobId &id)
{
    const auto it =
        std::find_if(m_open.begin(), m_open.end(), [&id](const auto &job) { return job.second.request.id == id; });
    if (it == m_open.end()) {
        return false;
    }
    const std::uint64_t ticket = it->first;
    m_observer.jobWithdrawn(it->second.dispatcher, ticket);
    answer(ticket, JobOutcome::Canceled, JobEndReason::CallerGone, {});
    return true;
}

std::uint32_t JobRouter::openJobs(const RouteName &route) const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_open.begin(), m_open.end(), [&route](const auto &it) { return it.second.request.route == route; }));
}

} // namespace Eelgrasscleat
