/// @file
/// Choice of a dispatcher, and responses to callers.
#include <eelgrasscleat/Dispatch/JobRouter.h>

#include "JobShape.h"

#include <algorithm>

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

std::uint32_t largestTaskDemand(const JobRequest &request)
{
    std::uint32_t largest = 0;
    for (const JobStep &it : request.steps) {
        largest = std::max(largest, it.demand.milliCores);
    }
    return largest;
}

} // namespace

std::size_t openJobBytes(const JobRequest &request)
{
    // The job itself, its parts, and the messages or calls that carry them.
    constexpr std::size_t kCopies = 4;
    return kCopies * heldBytes(request);
}

JobRouter::JobRouter(const JobRouterPolicy &policy, ZoneName zone, JobRouterObserver &observer)
    : m_policy(policy)
    , m_zone(std::move(zone))
    , m_observer(observer)
    , m_takeoverWait(policy.takeover)
{
}

void JobRouter::submit(CallerId caller, JobRequest request)
{
    const std::uint64_t number = ++m_lastJob;
    OpenJob &job = m_open[number];
    job.caller = caller;
    job.request = std::move(request);
    m_byCaller[caller] = number;
    if (m_open.size() > m_policy.maxOpenJobs) {
        answer(number, JobOutcome::Refused, JobEndReason::QueueFull, m_policy.takeover.takeoverTime);
        return;
    }
    if (route(number, job, job.request)) {
        return;
    }
    if (const auto until = m_takeoverWait.waitUntil(job.request)) {
        m_waiting[number] = { *until, {} };
        m_observer.jobWaits(job.request, *until);
    } else {
        refuseUnroutable(number);
    }
}

/// Refuses a job that no dispatcher can take.
void JobRouter::refuseUnroutable(std::uint64_t number)
{
    const bool evacuated = std::any_of(
        m_dispatchers.begin(), m_dispatchers.end(), [this](const auto &it) { return isEvacuated(it.second); });
    if (evacuated) {
        answer(number, JobOutcome::Refused, JobEndReason::ZoneEvacuated, m_policy.evacuationRetryDelay);
    } else {
        answer(number, JobOutcome::Refused, JobEndReason::NoDispatcher, m_policy.takeover.takeoverTime);
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

/// Routes tasks of a job to the best dispatchers that have neither refused the job nor a part of it.
/// @param request the job, or the part of it that has no dispatcher
/// @returns whether there was a dispatcher.
bool JobRouter::route(std::uint64_t number, OpenJob &job, const JobRequest &request)
{
    const bool isRemainder = hasAcceptedParts(job);
    std::size_t candidates = 0;
    const auto shares = chooseDispatchers(job, request, candidates);
    const bool hasOthers =
        !job.lateOffers.isEmpty() || (job.refusals + 1 < m_policy.maxDispatchersTried && candidates > shares.size());
    const bool onlyInTime = hasOthers && !isRemainder;
    std::uint32_t firstTask = request.steps.front().firstTask;
    for (const TaskShare &it : shares) {
        JobRequest part = request;
        part.onlyInTime = onlyInTime;
        part.othersAccepted = isRemainder;
        if (shares.size() > 1) {
            part.steps.front().firstTask = firstTask;
            part.steps.front().tasks = it.tasks;
            firstTask += it.tasks;
        }
        send(number, job, it.name, std::move(part));
    }
    return !shares.empty();
}

/// Sends a job, or a part of it, to a dispatcher.
void JobRouter::send(std::uint64_t number, OpenJob &job, const InstanceName &dispatcher, JobRequest request)
{
    const std::uint64_t ticket = ++m_lastTicket;
    Part &part = job.parts[ticket];
    part.dispatcher = dispatcher;
    part.request = std::move(request);
    part.request.deadline = job.request.deadline; // A planned stop may have shortened it since.
    m_jobOfTicket[ticket] = number;
    m_dispatchers[dispatcher].routedMilliCores += totalDemand(part.request);
    m_observer.jobRouted(dispatcher, ticket, part.request);
}

/// Sends a job that no dispatcher is expected to run in time to the one where it is expected to end first.
/// @returns whether there was one that would run it
bool JobRouter::routeLate(std::uint64_t number, OpenJob &job, const JobRequest &request)
{
    while (const auto dispatcher = job.lateOffers.takeBest()) {
        const auto state = m_dispatchers.find(*dispatcher);
        if (state != m_dispatchers.end() && canRun(state->second, request)) {
            JobRequest late = request;
            late.onlyInTime = false;
            send(number, job, *dispatcher, std::move(late));
            return true;
        }
    }
    return false;
}

/// @returns whether the dispatcher may take tasks of the job.
bool JobRouter::canRun(const DispatcherState &state, const JobRequest &request) const
{
    const DispatcherLoad &load = state.load;
    if (!state.ownsTargets || isEvacuated(state) || load.targets == 0
        || largestTaskDemand(request) > load.largestMilliCores) {
        return false;
    }
    const Duration estimate = sequentialEstimate(request);
    return !load.draining || (estimate > Duration::zero() && estimate * kDrainRunTimeFactor <= load.drainLeft);
}

DivisionCandidate
JobRouter::candidate(const InstanceName &name, const DispatcherState &state, const JobRequest &request) const
{
    const DispatcherLoad &load = state.load;
    const double demand = std::max(totalDemand(request) / totalTasks(request), 1.0);
    const double cores = static_cast<double>(load.totalMilliCores) / kMillisPerCore;
    const std::uint64_t queued = request.priority < load.urgentCoreMillis.size()
        ? load.urgentCoreMillis[request.priority]
        : load.queuedCoreMillis;
    DivisionCandidate candidate;
    candidate.name = name;
    candidate.waitMs = static_cast<double>(queued) / cores;
    candidate.places = load.places.places(demand) - state.routedMilliCores / demand;
    candidate.msPerTask = demand / kMillisPerCore * kTypicalRunMs / cores;
    if (state.zone != m_zone || load.draining) {
        candidate.delayMs = std::chrono::duration<double, std::milli>(m_policy.crossZonePenalty).count();
    }
    return candidate;
}

/// @param candidateCount set to the number of dispatchers that may take the request
std::vector<TaskShare>
JobRouter::chooseDispatchers(const OpenJob &job, const JobRequest &request, std::size_t &candidateCount) const
{
    std::vector<DivisionCandidate> candidates;
    const bool isPart = totalTasks(request) < totalTasks(job.request);
    const bool isRemainder = hasAcceptedParts(job);
    bool allKnowParts = true;
    for (const auto &it : m_dispatchers) {
        const bool hasPart = std::any_of(
            job.parts.begin(), job.parts.end(), [&it](const auto &part) { return part.second.dispatcher == it.first; });
        const auto refusal = job.refusedBy.find(it.first);
        // One that has refused for lateness takes what remains of a job of which other parts were accepted.
        const bool hasRefused =
            refusal != job.refusedBy.end() && !(isRemainder && refusal->second == JobEndReason::TooLate);
        if (hasPart || hasRefused || !canRun(it.second, request)) {
            continue;
        }
        // Instances of earlier versions take a part for a whole job. They report no places.
        const bool knowsParts = it.second.load.places.largestMilliCores() > 0;
        if (knowsParts || !isPart) {
            candidates.push_back(candidate(it.first, it.second, request));
            allKnowParts = allKnowParts && knowsParts;
        }
    }
    candidateCount = candidates.size();
    DivisionPolicy policy = m_policy.division;
    if (isPart || !allKnowParts || !isDivisible(request)) {
        policy.maxParts = 1;
    } else {
        // One dispatcher stays free for a part that another refuses.
        policy.maxParts = std::min(policy.maxParts, std::max<std::size_t>(candidates.size(), 2) - 1);
    }
    return divideTasks(totalTasks(request), candidates, policy);
}

/// @returns whether parts of the job may run or have run.
bool JobRouter::hasAcceptedParts(const OpenJob &job)
{
    return job.hasRun || !job.parts.empty();
}

/// Cancels all parts without a result.
void JobRouter::withdraw(const OpenJob &job)
{
    for (const auto &it : job.parts) {
        m_observer.jobWithdrawn(it.second.dispatcher, it.first);
    }
}

void JobRouter::answer(std::uint64_t number, JobOutcome outcome, JobEndReason reason, Duration retryAfter)
{
    const auto it = m_open.find(number);
    const CallerId caller = it->second.caller;
    const JobEnd end { it->second.request.id, number, outcome, reason, retryAfter };
    for (const auto &part : it->second.parts) {
        m_jobOfTicket.erase(part.first);
    }
    m_byCaller.erase(caller);
    m_waiting.erase(number);
    m_open.erase(it);
    m_observer.jobAnswered(caller, end);
}

void JobRouter::callerGone(CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end()) {
        return;
    }
    const std::uint64_t number = it->second;
    const OpenJob &job = m_open.at(number);
    withdraw(job);
    for (const auto &part : job.parts) {
        m_jobOfTicket.erase(part.first);
    }
    m_waiting.erase(number);
    m_open.erase(number);
    m_byCaller.erase(it);
}

void JobRouter::jobEnded(const InstanceName &dispatcher, const JobEnd &end, Instant now)
{
    const auto found = m_jobOfTicket.find(end.ticket);
    if (found == m_jobOfTicket.end()) {
        return; // The job has already been answered.
    }
    const std::uint64_t number = found->second;
    OpenJob &job = m_open.at(number);
    if (job.parts.at(end.ticket).dispatcher != dispatcher) {
        return;
    }
    if (end.outcome == JobOutcome::Refused) {
        partRefused(number, end.ticket, end, now);
        return;
    }
    job.parts.erase(end.ticket);
    m_jobOfTicket.erase(found);
    if (end.outcome == JobOutcome::Complete) {
        job.hasRun = true;
        if (!job.parts.empty()) {
            return;
        }
    }
    withdraw(job);
    answer(number, end.outcome, end.reason, end.retryAfter);
}

/// Routes a part elsewhere that was refused. If that fails, the job can't complete.
void JobRouter::partRefused(std::uint64_t number, std::uint64_t ticket, const JobEnd &end, Instant now)
{
    OpenJob &job = m_open.at(number);
    const Part part = std::move(job.parts.at(ticket));
    job.parts.erase(ticket);
    m_jobOfTicket.erase(ticket);
    job.refusedBy[part.dispatcher] = end.reason;
    job.refusals += end.reason == JobEndReason::ZoneEvacuated ? 0 : 1;
    if (end.lateEnd > Duration::zero()) {
        job.lateOffers.add(part.dispatcher, now + end.lateEnd);
    }
    // A part that follows accepted ones is not refused as late a second time, except by instances of earlier versions.
    const bool isFirstOfRemainder = hasAcceptedParts(job) && !part.request.othersAccepted;
    const bool mayTryOthers = job.refusals < m_policy.maxDispatchersTried || isFirstOfRemainder;
    if (mayTryOthers && now < job.request.deadline && route(number, job, part.request)) {
        return;
    }
    if (end.reason == JobEndReason::TooLate && waitAgain(number, job, now)) {
        return;
    }
    if (!hasAcceptedParts(job) && now < job.request.deadline && routeLate(number, job, part.request)) {
        return;
    }
    // Tasks of other parts may run, or have run.
    const bool mayHaveRun = hasAcceptedParts(job);
    withdraw(job);
    answer(number, mayHaveRun ? JobOutcome::Abandoned : JobOutcome::Refused, end.reason, end.retryAfter);
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
    m_takeoverWait.update(hasDispatcher(), now);
    routeWaiting(now);
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
        const auto &parts = it.second.parts;
        if (std::any_of(
                parts.begin(), parts.end(), [&name](const auto &part) { return part.second.dispatcher == name; })) {
            lost.push_back(it.first);
        }
    }
    for (const std::uint64_t it : lost) {
        // The dispatcher may be alive but unreachable from here: it must not continue.
        withdraw(m_open.at(it));
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
    m_takeoverWait.update(hasDispatcher(), now);
    routeWaiting(now);
    endWaiting(now);
    std::vector<std::uint64_t> late;
    for (const auto &it : m_open) {
        if (now >= it.second.request.deadline) {
            late.push_back(it.first);
        }
    }
    for (const std::uint64_t it : late) {
        const JobOutcome outcome = m_waiting.count(it) > 0 ? JobOutcome::Refused : JobOutcome::Expired;
        withdraw(m_open.at(it));
        answer(it, outcome, JobEndReason::DeadlinePassed, {});
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

/// @returns whether any instance owns targets, also while it drains or its zone is evacuated.
bool JobRouter::hasDispatcher() const
{
    return std::any_of(m_dispatchers.begin(), m_dispatchers.end(), [this](const auto &it) {
        return (it.second.ownsTargets && it.second.load.targets > 0) || isEvacuated(it.second);
    });
}

std::set<InstanceName> JobRouter::dispatchersInUse() const
{
    std::set<InstanceName> names;
    for (const auto &it : m_open) {
        for (const auto &part : it.second.parts) {
            names.insert(part.second.dispatcher);
        }
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
    withdraw(it->second);
    answer(it->first, JobOutcome::Canceled, JobEndReason::CallerGone, {});
    return true;
}

std::uint32_t JobRouter::openJobs(const RouteName &route) const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_open.begin(), m_open.end(), [&route](const auto &it) { return it.second.request.route == route; }));
}

} // namespace Eelgrasscleat
