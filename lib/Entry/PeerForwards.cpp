/// @file
/// Retransmission of forwards, and matching of answers by request id.
#include "PeerForwards.h"

#include "CallerIds.h"

#include <utility>

namespace Eelgrasscleat
{

/// How long a submission waits for the first heartbeat of an unknown home: heartbeats are sent every second, and the
/// connection for them is re-established within another second.
static constexpr Duration FirstHeartbeatTimeout = std::chrono::seconds(2);

PeerForwards::PeerForwards(PeerId self, Duration repeatInterval)
    : m_self(std::move(self))
    , m_repeatInterval(repeatInterval)
{
}

static bool isReachable(const PeerTracker &peers, IncarnationId home, Instant now)
{
    return peers.statusOf(home, now) == IncarnationStatus::Alive;
}

static bool hasEnded(const PeerTracker &peers, IncarnationId home, Instant now)
{
    return peers.statusOf(home, now) == IncarnationStatus::Ended;
}

void PeerForwards::forward(const ForwardToHome &forward,
                           const PeerTracker &peers,
                           SubmissionTable &table,
                           const ClockReading &clock,
                           ExecutionActions &execution,
                           CoreActions &out)
{
    if (peers.awaitsFirstHeartbeat(forward.home)) {
        m_deferred.insert_or_assign(forward.submission, DeferredForward { forward, clock.now + FirstHeartbeatTimeout });
        return;
    }
    const auto name = peers.nameOf(forward.home);
    if (!name || !isReachable(peers, forward.home, clock.now)) {
        table.handleHomeLost(forward.home, hasEnded(peers, forward.home, clock.now), clock, execution);
        return;
    }
    const Forward entry { forward.home, *name, forward.body, clock.now };
    send(forward.submission, entry, out);
    m_forwards.insert_or_assign(forward.submission, entry);
}

void PeerForwards::send(SubmissionId id, const Forward &forward, CoreActions &out) const
{
    SendToPeer action;
    action.peer = forward.peer;
    action.message.set_to_incarnation(forward.home.value);
    auto *body = action.message.mutable_forward_submission();
    body->set_request_id(id.value);
    *body->mutable_submission() = forward.body;
    out.emplace_back(std::move(action));
}

void PeerForwards::forwardCancel(const ForwardCancelToHome &cancel, const PeerTracker &peers, CoreActions &out) const
{
    const auto name = peers.nameOf(cancel.home);
    if (!name) {
        return;
    }
    SendToPeer action;
    action.peer = *name;
    action.message.set_to_incarnation(cancel.home.value);
    auto *body = action.message.mutable_forward_cancel();
    body->set_customer(cancel.customer.value);
    body->set_key(cancel.key);
    out.emplace_back(std::move(action));
}

void PeerForwards::handleAnswer(const schema::ForwardedAnswer &answer, SubmissionTable &table, ExecutionActions &out)
{
    const SubmissionId id(answer.request_id());
    if (m_forwards.erase(id) == 0) {
        return;
    }
    table.completeForward(id, answer.answer(), out);
}

void PeerForwards::handlePeerLost(const InstanceName &peer,
                                  const PeerTracker &peers,
                                  SubmissionTable &table,
                                  const ClockReading &clock,
                                  ExecutionActions &out)
{
    std::set<IncarnationId> homes;
    for (const auto &[id, forward] : m_forwards) {
        if (forward.peer == peer) {
            homes.insert(forward.home);
        }
    }
    std::erase_if(m_forwards, [&peer](const auto &it) { return it.second.peer == peer; });
    for (const IncarnationId it : homes) {
        table.handleHomeLost(it, hasEnded(peers, it, clock.now), clock, out);
    }
}

/// Forwards deferred submissions whose home has sent a heartbeat, and reports the home as lost after the timeout.
void PeerForwards::sendDeferred(const PeerTracker &peers,
                                SubmissionTable &table,
                                const ClockReading &clock,
                                ExecutionActions &execution,
                                CoreActions &out)
{
    for (auto it = m_deferred.begin(); it != m_deferred.end();) {
        const ForwardToHome deferred = it->second.forward;
        if (peers.awaitsFirstHeartbeat(deferred.home) && clock.now < it->second.giveUpAt) {
            ++it;
            continue;
        }
        it = m_deferred.erase(it);
        if (peers.awaitsFirstHeartbeat(deferred.home)) {
            table.handleHomeLost(deferred.home, false, clock, execution);
        } else {
            forward(deferred, peers, table, clock, execution, out);
        }
    }
}

void PeerForwards::tick(const PeerTracker &peers,
                        SubmissionTable &table,
                        const ClockReading &clock,
                        ExecutionActions &execution,
                        CoreActions &out)
{
    sendDeferred(peers, table, clock, execution, out);
    std::set<InstanceName> lost;
    for (auto &[id, forward] : m_forwards) {
        if (!isReachable(peers, forward.home, clock.now)) {
            lost.insert(forward.peer);
            continue;
        }
        if (clock.now - forward.sentAt >= m_repeatInterval) {
            forward.sentAt = clock.now;
            send(id, forward, out);
        }
    }
    for (const InstanceName &it : lost) {
        handlePeerLost(it, peers, table, clock, execution);
    }
}

std::optional<CallerId> PeerForwards::beginRequest(const PeerRequest &request)
{
    if (!m_openRequests.insert(request).second) {
        return std::nullopt;
    }
    const CallerId caller = CallerIds::fromPeerRequest(++m_lastRequest);
    m_requests.emplace(caller, request);
    return caller;
}

bool PeerForwards::answerRequest(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out)
{
    const auto it = m_requests.find(caller);
    if (it == m_requests.end()) {
        return false;
    }
    SendToPeer action;
    action.peer = it->second.peer.name;
    action.message.set_to_incarnation(it->second.peer.incarnation.value);
    auto *body = action.message.mutable_forwarded_answer();
    body->set_request_id(it->second.requestId);
    *body->mutable_answer() = answer;
    out.emplace_back(std::move(action));
    m_openRequests.erase(it->second);
    m_requests.erase(it);
    return true;
}

std::size_t PeerForwards::pending() const
{
    return m_forwards.size() + m_deferred.size();
}

} // namespace Eelgrasscleat
