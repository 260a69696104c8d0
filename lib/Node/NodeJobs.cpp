/// @file
/// Jobs of an instance: from callers to the home, between home and dispatchers, from targets to the dispatcher.
#include "NodeImpl.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Without a route the part of the path that names the job isn't known; its last one mostly does.
static JobId lastPart(const std::string &path)
{
    return JobId(path.substr(path.rfind('/') + 1));
}

void DispatchNode::Impl::requestReceived(CallerRequest request)
{
    if (!enter()) {
        return; // Its connection has just been closed, with all others.
    }
    const FleetRoute *route = m_configuration.match(request.host, request.path);
    if (!m_configuration.isKnown()) {
        refuse(request, lastPart(request.path), JobEndReason::NoConfiguration);
        return;
    }
    JobId id;
    if (route != nullptr) {
        id = JobId(request.path.substr(route->pathPrefix.size()));
    }
    switch (request.action) {
    case JobAction::Submit:
        submitJob(request, route);
        break;
    case JobAction::ReadState:
        m_callers->answerState(request.caller, m_home.isOpen(id));
        break;
    case JobAction::Cancel:
        m_callers->answerState(request.caller, m_home.cancel(id));
        break;
    case JobAction::CountPending:
        if (route == nullptr) {
            refuse(request, id, JobEndReason::UnknownRoute);
        } else {
            m_callers->answerPendingCount(request.caller, m_home.openJobs(route->name));
        }
        break;
    }
    settle();
}

void DispatchNode::Impl::refuse(const CallerRequest &request, const JobId &id, JobEndReason reason)
{
    JobEnd end;
    end.id = id;
    end.outcome = JobOutcome::Refused;
    end.reason = reason;
    end.retryAfter = m_settings.home.takeoverTime;
    m_log.jobAnswered(end, RouteName(), request.requestId, Duration::zero(), m_now);
    m_callers->answerEnd(request.caller, end);
}

void DispatchNode::Impl::submitJob(CallerRequest &request, const FleetRoute *route)
{
    if (route == nullptr) {
        refuse(request, lastPart(request.path), JobEndReason::UnknownRoute);
        return;
    }
    JobId id(request.path.substr(route->pathPrefix.size()));
    auto *job = std::get_if<JobRequest>(&request.job);
    if (job == nullptr || id.isEmpty()) {
        const auto *error = std::get_if<Error>(&request.job);
        m_log.changed("request rejected",
                      { { "job", id.value },
                        { "request", request.requestId },
                        { "detail", error != nullptr ? error->detail : "the path names no job" } });
        const bool unsupported = error != nullptr && error->code == ErrorCode::Refused;
        refuse(request, id, unsupported ? JobEndReason::Unsupported : JobEndReason::Malformed);
        return;
    }
    if (request.mustBeStored) {
        refuse(request, id, JobEndReason::Unsupported);
        return;
    }
    job->id = id;
    job->requestId = request.requestId;
    job->route = route->name;
    job->service = route->service;
    job->priority = route->priority;
    job->attempts = route->attempts;
    job->stretch = route->stretch;
    job->latencyTarget = route->latencyTarget;
    job->submitted = m_now;
    job->deadline = m_now + (request.timeout > Duration::zero() ? request.timeout : route->timeout);
    if (m_stopped) {
        // What can't end before this instance does is refused now, and the rest is answered in time.
        job->deadline = std::min(job->deadline, m_stopBegan + m_settings.answerDeadline);
    }
    m_arrivals[request.caller] = { id, request.requestId, route->name, m_now };
    m_home.submit(request.caller, std::move(*job));
}

void DispatchNode::Impl::callerDisconnected(CallerId caller)
{
    enter();
    const auto it = m_arrivals.find(caller);
    if (it != m_arrivals.end()) {
        JobEnd end;
        end.id = it->second.job;
        end.outcome = JobOutcome::Canceled;
        end.reason = JobEndReason::CallerGone;
        m_log.jobAnswered(end, it->second.route, it->second.requestId, m_now - it->second.at, m_now);
        m_arrivals.erase(it);
    }
    m_home.callerGone(caller);
    settle();
}

void DispatchNode::Impl::jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request)
{
    m_log.jobRouted(request, dispatcher, m_configuration.current().version);
    if (dispatcher != m_settings.self.name) {
        m_link.submitJob(dispatcher, ticket, request);
        return;
    }
    m_local.emplace_back([this, ticket, request] {
        m_dispatcher.homeContacted(m_settings.self.name, m_now);
        m_dispatcher.submit({ m_settings.self.name, ticket }, request, m_now);
    });
}

void DispatchNode::Impl::jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket)
{
    if (dispatcher != m_settings.self.name) {
        m_link.withdrawJob(dispatcher, ticket);
        return;
    }
    m_local.emplace_back([this, ticket] { m_dispatcher.cancel({ m_settings.self.name, ticket }, m_now); });
}

void DispatchNode::Impl::jobAnswered(CallerId caller, const JobEnd &end)
{
    const auto it = m_arrivals.find(caller);
    if (it != m_arrivals.end()) {
        m_log.jobAnswered(end, it->second.route, it->second.requestId, m_now - it->second.at, m_now);
        m_arrivals.erase(it);
    }
    m_callers->answerEnd(caller, end);
}

void DispatchNode::Impl::jobEnded(const InstanceName &home, const JobEnd &end)
{
    if (home != m_settings.self.name) {
        m_link.endJob(home, end);
        return;
    }
    m_local.emplace_back([this, end] { m_home.jobEnded(m_settings.self.name, end, m_now); });
}

void DispatchNode::Impl::jobTooLate(const JobId &id, const LatenessEstimate &inputs)
{
    m_log.jobTooLate(id, inputs, m_now);
}

void DispatchNode::Impl::runDecided(std::string_view decision,
                                    const RunName &run,
                                    const TargetName &target,
                                    double detail)
{
    m_log.runDecided(decision, run, target, detail, m_now);
}

void DispatchNode::Impl::tokenFenced(FencingToken token, const TargetName &target)
{
    m_log.changed("token fenced", { { "token", token.value }, { "target", target.value } });
    m_local.emplace_back([this, token] {
        m_ownership.fenced(token, m_now);
        applyOwnership();
    });
}

void DispatchNode::Impl::targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail)
{
    m_log.targetChanged(change, target, detail, m_now);
}

void DispatchNode::Impl::startAnswered(const TargetName &target, const RunName &run, const CommandResult &result)
{
    enter();
    m_dispatcher.startAnswered(target, run, result, m_now);
    settle();
}

void DispatchNode::Impl::stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result)
{
    enter();
    m_dispatcher.stopAnswered(target, run, result, m_now);
    settle();
}

void DispatchNode::Impl::inspected(const TargetName &target,
                                   std::uint64_t number,
                                   const TargetReport &report,
                                   const CommandResult &result)
{
    enter();
    m_dispatcher.inspected(target, number, report, result, m_now);
    settle();
}

void DispatchNode::Impl::inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result)
{
    enter();
    m_dispatcher.inspectionFailed(target, number, result, m_now);
    settle();
}

bool DispatchNode::Impl::peerHeard(const InstanceName &peer)
{
    if (!enter()) {
        return false;
    }
    m_dispatcher.homeContacted(peer, m_now);
    return true;
}

void DispatchNode::Impl::peerStatus(const InstanceName &peer,
                                    const ZoneName &zone,
                                    bool owner,
                                    const DispatcherLoad &load)
{
    enter();
    if (owner) {
        m_home.dispatcherReported(peer, zone, load, m_now);
    } else {
        m_home.dispatcherRetired(peer);
    }
}

void DispatchNode::Impl::sessionEnded(const InstanceName &peer, const std::string &why)
{
    enter();
    m_log.changed("peer session ended", { { "peer", peer.value }, { "why", why } });
    m_dispatcher.homeLost(peer, m_now);
    m_home.dispatcherLost(peer);
    settle();
}

void DispatchNode::Impl::peerSubmitted(const InstanceName &peer, std::uint64_t ticket, JobRequest request)
{
    enter();
    m_dispatcher.submit({ peer, ticket }, std::move(request), m_now);
    settle();
}

void DispatchNode::Impl::peerWithdrew(const InstanceName &peer, std::uint64_t ticket)
{
    enter();
    m_dispatcher.cancel({ peer, ticket }, m_now);
    settle();
}

void DispatchNode::Impl::peerEnded(const InstanceName &peer, const JobEnd &end)
{
    enter();
    m_home.jobEnded(peer, end, m_now);
    settle();
}

} // namespace Eelgrasscleat
