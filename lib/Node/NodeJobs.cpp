/// @file
/// Passes jobs between callers, the job router, local and remote dispatchers, and targets.
#include "NodeImpl.h"

#include <eelgrasscleat/Support/Utf8.h>

#include <algorithm>
#include <utility>

namespace Eelgrasscleat
{

/// Longest id of a job, in bytes.
constexpr std::size_t kMaxJobIdBytes = 256;
/// Longest part of a caller's request identifier that is kept for logs, in bytes.
constexpr std::size_t kMaxRequestIdBytes = 256;
/// Time for which submissions wait for the first configuration: a few reads from the store.
constexpr Duration kConfigurationWait = std::chrono::milliseconds(500);

/// Used where no route determines which part of the path is the job's id; it is usually the last segment.
static JobId lastPathSegment(const std::string &path)
{
    return JobId(path.substr(path.rfind('/') + 1));
}

void DispatchNode::Impl::requestReceived(CallerRequest request)
{
    if (!beginEvent()) {
        return; // The stall recovery has closed the connection.
    }
    if (request.requestId.size() > kMaxRequestIdBytes) {
        request.requestId.resize(kMaxRequestIdBytes);
        request.requestId.shrink_to_fit();
    }
    if (!m_configuration.isKnown()) {
        const bool mayWait = m_now < m_startedAt + kConfigurationWait && !m_onStopped
            && m_unconfigured.size() < m_settings.router.maxOpenJobs;
        if (request.action == JobAction::Submit && mayWait) {
            m_unconfigured.push_back({ std::move(request), m_now });
        } else {
            refuse(request, lastPathSegment(request.path), JobEndReason::NoConfiguration);
        }
        return;
    }
    const FleetRoute *route = m_configuration.match(request.host, request.path);
    JobId id;
    if (route != nullptr) {
        id = JobId(request.path.substr(route->pathPrefix.size()));
    }
    switch (request.action) {
    case JobAction::Submit:
        submitJob(request, route, m_now);
        break;
    case JobAction::ReadState:
        m_callers->answerState(request.caller, m_router.isOpen(id));
        break;
    case JobAction::Cancel:
        m_callers->answerState(request.caller, m_router.cancel(id));
        break;
    case JobAction::CountPending:
        if (route == nullptr) {
            refuse(request, id, JobEndReason::UnknownRoute);
        } else {
            m_callers->answerPendingCount(request.caller, m_router.openJobs(route->name));
        }
        break;
    }
    runDeferredCalls();
}

/// Submits the jobs that waited for the configuration.
void DispatchNode::Impl::submitUnconfigured()
{
    for (UnconfiguredRequest &it : std::exchange(m_unconfigured, {})) {
        submitJob(it.request, m_configuration.match(it.request.host, it.request.path), it.receivedAt);
    }
}

/// Refuses the jobs that waited for the configuration once it is overdue.
void DispatchNode::Impl::refuseUnconfigured()
{
    if (m_now < m_startedAt + kConfigurationWait && !m_onStopped) {
        return;
    }
    for (const UnconfiguredRequest &it : std::exchange(m_unconfigured, {})) {
        refuse(it.request, lastPathSegment(it.request.path), JobEndReason::NoConfiguration);
    }
}

void DispatchNode::Impl::refuse(const CallerRequest &request, const JobId &id, JobEndReason reason)
{
    JobEnd end;
    end.id = id;
    end.outcome = JobOutcome::Refused;
    end.reason = reason;
    if (mayBeAcceptedLater(reason)) {
        end.retryAfter = m_settings.router.takeover.takeoverTime;
    }
    m_log.jobAnswered(end, RouteName(), request.requestId, Duration::zero(), m_now);
    m_callers->answerEnd(request.caller, end);
}

void DispatchNode::Impl::submitJob(CallerRequest &request, const FleetRoute *route, Instant receivedAt)
{
    if (route == nullptr) {
        refuse(request, lastPathSegment(request.path), JobEndReason::UnknownRoute);
        return;
    }
    JobId id(request.path.substr(route->pathPrefix.size()));
    auto *job = std::get_if<JobRequest>(&request.job);
    // Peers drop the connection over a message whose texts are no valid UTF-8.
    const bool isSound = !id.isEmpty() && id.value.size() <= kMaxJobIdBytes && isPrintableUtf8(id.value);
    if (job == nullptr || !isSound) {
        const auto *error = std::get_if<Error>(&request.job);
        m_log.requestRejected(
            id, request.requestId, error != nullptr ? error->detail : "the path contains no sound job id", m_now);
        const bool unsupported = error != nullptr && error->code == ErrorCode::Refused;
        refuse(request, id, unsupported ? JobEndReason::Unsupported : JobEndReason::Malformed);
        return;
    }
    if (job->payload.size() > m_settings.maxPayloadBytes) {
        m_log.requestRejected(id, request.requestId, "the payload is too long", m_now);
        refuse(request, id, JobEndReason::Malformed);
        return;
    }
    if (request.mustBeStored || route->needsStartTickets) {
        const char *detail = request.mustBeStored ? "storing jobs not supported" : "start tickets not supported";
        m_log.requestRejected(id, request.requestId, detail, m_now);
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
    job->submitted = receivedAt;
    job->deadline = receivedAt + (request.timeout > Duration::zero() ? request.timeout : route->timeout);
    if (m_onStopped) {
        // Jobs that cannot end before the shutdown are refused now; all others are answered in time.
        job->deadline = std::min(job->deadline, m_stopStartedAt + m_settings.answerDeadline);
    }
    m_pendingRequests[request.caller] = { id, request.requestId, route->name, receivedAt };
    m_router.submit(request.caller, std::move(*job));
}

void DispatchNode::Impl::callerDisconnected(CallerId caller)
{
    beginEvent();
    const auto it = m_pendingRequests.find(caller);
    if (it != m_pendingRequests.end()) {
        JobEnd end;
        end.id = it->second.job;
        end.outcome = JobOutcome::Canceled;
        end.reason = JobEndReason::CallerGone;
        m_log.jobAnswered(end, it->second.route, it->second.requestId, m_now - it->second.receivedAt, m_now);
        m_pendingRequests.erase(it);
    }
    std::erase_if(m_unconfigured, [caller](const auto &held) { return held.request.caller == caller; });
    m_router.callerGone(caller);
    runDeferredCalls();
}

void DispatchNode::Impl::jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request)
{
    m_log.jobRouted(request, dispatcher, m_configuration.current().version);
    if (dispatcher != m_settings.self.name) {
        m_peerLink.submitJob(dispatcher, ticket, request);
        return;
    }
    m_deferredCalls.emplace_back([this, ticket, request] {
        m_dispatcher.homeContacted(m_settings.self.name, m_now);
        m_dispatcher.submit({ m_settings.self.name, ticket }, request, m_now);
    });
}

void DispatchNode::Impl::jobWaits(const JobRequest &request, Instant until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - m_now);
    m_log.recordEvent("job waits",
                      { { "job", request.id.value },
                        { "request", request.requestId },
                        { "dispatchers", std::uint64_t { m_router.dispatcherCount() } },
                        { "at_most_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count())) } });
}

void DispatchNode::Impl::jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket)
{
    if (dispatcher != m_settings.self.name) {
        m_peerLink.cancelJob(dispatcher, ticket);
        return;
    }
    m_deferredCalls.emplace_back([this, ticket] { m_dispatcher.cancel({ m_settings.self.name, ticket }, m_now); });
}

void DispatchNode::Impl::jobAnswered(CallerId caller, const JobEnd &end)
{
    const auto it = m_pendingRequests.find(caller);
    if (it != m_pendingRequests.end()) {
        m_log.jobAnswered(end, it->second.route, it->second.requestId, m_now - it->second.receivedAt, m_now);
        m_pendingRequests.erase(it);
    }
    m_callers->answerEnd(caller, end);
}

void DispatchNode::Impl::jobEnded(const InstanceName &home, const JobEnd &end)
{
    if (home != m_settings.self.name) {
        m_peerLink.reportJobEnd(home, end);
        return;
    }
    m_deferredCalls.emplace_back([this, end] { m_router.jobEnded(m_settings.self.name, end, m_now); });
}

void DispatchNode::Impl::jobTooLate(const JobId &id, const LatenessEstimate &estimate)
{
    m_log.jobTooLate(id, estimate, m_now);
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
    m_log.recordEvent("token fenced", { { "token", token.value }, { "target", target.value } });
    m_deferredCalls.emplace_back([this, token] {
        m_ownership.fenced(token, m_now);
        applyOwnership();
    });
}

void DispatchNode::Impl::targetCrashed(const TargetCrash &crash)
{
    m_log.targetCrashed(crash, m_now);
    if (!crash.commonCause) {
        m_store->publishCrash(crash);
    }
}

void DispatchNode::Impl::crashForgotten(const TargetLife &target)
{
    m_store->withdrawCrash(target);
}

void DispatchNode::Impl::targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail)
{
    m_log.targetChanged(change, target, detail, m_now);
}

void DispatchNode::Impl::startAnswered(const TargetName &target, const RunName &run, const CommandResult &result)
{
    beginEvent();
    m_dispatcher.startAnswered(target, run, result, m_now);
    runDeferredCalls();
}

void DispatchNode::Impl::stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result)
{
    beginEvent();
    m_dispatcher.stopAnswered(target, run, result, m_now);
    runDeferredCalls();
}

void DispatchNode::Impl::inspected(const TargetName &target,
                                   std::uint64_t number,
                                   const TargetReport &report,
                                   const CommandResult &result)
{
    beginEvent();
    m_dispatcher.inspected(target, number, report, result, m_now);
    runDeferredCalls();
}

void DispatchNode::Impl::inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result)
{
    beginEvent();
    m_dispatcher.inspectionFailed(target, number, result, m_now);
    runDeferredCalls();
}

bool DispatchNode::Impl::peerMessageReceived(const InstanceName &)
{
    return beginEvent();
}

void DispatchNode::Impl::peerContacted(const InstanceName &peer, Instant when)
{
    m_dispatcher.homeContacted(peer, when);
}

void DispatchNode::Impl::peerStatusReceived(const InstanceName &peer,
                                            const ZoneName &zone,
                                            bool owner,
                                            const DispatcherLoad &load)
{
    beginEvent();
    if (owner) {
        m_router.dispatcherReported(peer, zone, load, m_now);
    } else {
        m_router.dispatcherRetired(peer);
    }
}

void DispatchNode::Impl::sessionEnded(const InstanceName &peer, const std::string &why)
{
    beginEvent();
    m_log.recordEvent("peer session ended", { { "peer", peer.value }, { "why", why } });
    m_dispatcher.homeLost(peer, m_now);
    m_router.dispatcherLost(peer);
    runDeferredCalls();
}

void DispatchNode::Impl::peerSubmittedJob(const InstanceName &peer, std::uint64_t ticket, JobRequest request)
{
    beginEvent();
    m_dispatcher.submit({ peer, ticket }, std::move(request), m_now);
    runDeferredCalls();
}

void DispatchNode::Impl::peerCanceledJob(const InstanceName &peer, std::uint64_t ticket)
{
    beginEvent();
    m_dispatcher.cancel({ peer, ticket }, m_now);
    runDeferredCalls();
}

void DispatchNode::Impl::peerReportedJobEnd(const InstanceName &peer, const JobEnd &end)
{
    beginEvent();
    m_router.jobEnded(peer, end, m_now);
    runDeferredCalls();
}

} // namespace Eelgrasscleat
