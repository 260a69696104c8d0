/// @file
/// Handlers of peers' messages: heartbeats, loans, forwarded submissions, configuration, cached answers.
#include "EntryCoreImpl.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Maximum number of cached answers in one message to a peer.
static constexpr int MaxAnswersPerMessage = 64;

static PeerId senderOf(const schema::PeerMessage &message)
{
    return PeerId { InstanceName(message.from_instance()), IncarnationId(message.from_incarnation()) };
}

void EntryCore::Impl::handle(const PeerMessageReceived &event, const ClockReading &clock, CoreActions &out)
{
    const schema::PeerMessage &message = event.message;
    const PeerId from = senderOf(message);
    if (!m_peerNames.contains(from.name)) {
        return;
    }
    if (message.has_heartbeat()) {
        // Heartbeats to an earlier incarnation of this name are handled too: they show that the sender is alive.
        handleHeartbeat(message, clock, out);
        return;
    }
    if (message.to_incarnation() != 0 && message.to_incarnation() != m_self.incarnation.value) {
        // Addressed to an earlier incarnation of this name, whose state is lost.
        return;
    }
    switch (message.kind_case()) {
    case schema::PeerMessage::kLoanRequest:
    case schema::PeerMessage::kLoanGrant:
    case schema::PeerMessage::kLoanRenew:
    case schema::PeerMessage::kLoanReturn: {
        std::vector<LedgerMessage> messages;
        m_ledger.receive(from, message, clock.now, messages);
        sendLedgerMessages(messages, out);
        return;
    }
    case schema::PeerMessage::kForwardSubmission:
        submitForPeer(from, message.forward_submission(), clock, out);
        return;
    case schema::PeerMessage::kForwardedAnswer: {
        if (PeerQueries::ownsRequest(message.forwarded_answer().request_id())) {
            answerAll(m_queries.handleAnswer(from, message.forwarded_answer()), out);
            return;
        }
        ExecutionActions actions;
        m_forwards.handleAnswer(message.forwarded_answer(), m_submissions, actions);
        execute(actions, clock, out);
        return;
    }
    case schema::PeerMessage::kForwardCancel:
        cancelForPeer(message.forward_cancel(), clock, out);
        return;
    case schema::PeerMessage::kForwardFetch:
        fetchForPeer(from, message.forward_fetch(), clock, out);
        return;
    case schema::PeerMessage::kConfigRequest:
        executeConfigActions(m_configFollower.tailRequested(from, message.config_request()), clock, out);
        return;
    case schema::PeerMessage::kConfigTail:
        executeConfigActions(m_configFollower.tailReceived(from, message.config_tail(), clock.now), clock, out);
        return;
    case schema::PeerMessage::kKeptAnswers:
        importAnswers(message.kept_answers(), clock);
        return;
    case schema::PeerMessage::kDispatchStatus:
    case schema::PeerMessage::kDispatchJob:
    case schema::PeerMessage::kDispatchCancel:
    case schema::PeerMessage::kDispatchEnd:
    case schema::PeerMessage::kFleetConfigRequest:
    case schema::PeerMessage::kFleetConfig:
    case schema::PeerMessage::kZoneTargetsRequest:
    case schema::PeerMessage::kZoneTargets:
        // Exchanged only between dispatching instances (lib/Node); entry instances ignore them.
    case schema::PeerMessage::kHeartbeat:
    case schema::PeerMessage::KIND_NOT_SET:
        return;
    }
}

void EntryCore::Impl::handle(const PeerStreamChanged &event, const ClockReading &clock, CoreActions &out)
{
    if (event.up) {
        return;
    }
    ExecutionActions actions;
    m_forwards.handlePeerLost(event.peer, m_peers, m_submissions, clock, actions);
    execute(actions, clock, out);
}

void EntryCore::Impl::submitForPeer(const PeerId &from,
                                    const schema::ForwardSubmission &forward,
                                    const ClockReading &clock,
                                    CoreActions &out)
{
    const auto caller = m_forwards.beginRequest(PeerRequest { from, forward.request_id() });
    if (caller) {
        submit(forward.submission(), *caller, true, clock, out);
    }
}

void EntryCore::Impl::fetchForPeer(const PeerId &from,
                                   const schema::ForwardFetch &fetch,
                                   const ClockReading &clock,
                                   CoreActions &out)
{
    const auto caller = m_forwards.beginRequest(PeerRequest { from, fetch.request_id() });
    if (!caller) {
        return;
    }
    ExecutionActions actions;
    m_submissions.fetch(CustomerName(fetch.customer()), fetch.key(), *caller, fetch.wait(), actions);
    execute(actions, clock, out);
}

void EntryCore::Impl::cancelForPeer(const schema::ForwardCancel &cancel, const ClockReading &clock, CoreActions &out)
{
    // No caller awaits this answer: callers at the peer get the answer of the cancelled submission.
    ExecutionActions actions;
    m_submissions.cancel(CustomerName(cancel.customer()), cancel.key(), CallerId(), clock, actions);
    execute(actions, clock, out);
}

void EntryCore::Impl::handleHeartbeat(const schema::PeerMessage &message, const ClockReading &clock, CoreActions &out)
{
    const PeerId from = senderOf(message);
    const schema::Heartbeat &heartbeat = message.heartbeat();
    m_heartbeatExchange.handleHeartbeat(from, IncarnationId(message.to_incarnation()), heartbeat, clock.now);
    for (const std::string &it : heartbeat.leaving_targets()) {
        m_targetPresence.recordPeerReport(TargetName(it), clock.now);
    }
    executeConfigActions(m_configFollower.heartbeatReceived(from, heartbeat, clock.now), clock, out);
}

void EntryCore::Impl::sendHeartbeats(const ClockReading &clock, CoreActions &out)
{
    if (m_nextHeartbeat && clock.now < *m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = clock.now + std::chrono::milliseconds(m_settings.dispatch().heartbeat_ms());
    schema::Heartbeat heartbeat;
    m_configFollower.fillHeartbeat(heartbeat, clock.now);
    heartbeat.set_leaving(m_stopping);
    for (const TargetName &it : m_targetPresence.recentRefusals(clock.now)) {
        heartbeat.add_leaving_targets(it.value);
    }
    m_heartbeatExchange.startRound(clock.now);
    for (const InstanceName &name : m_peerNames) {
        SendToPeer action;
        action.peer = name;
        *action.message.mutable_heartbeat() = heartbeat;
        const PeerId peer = m_peers.currentPeer(name).value_or(PeerId { name, IncarnationId() });
        m_heartbeatExchange.fill(*action.message.mutable_heartbeat(), peer, clock.now);
        action.message.set_to_incarnation(peer.incarnation.value);
        out.emplace_back(std::move(action));
    }
}

void EntryCore::Impl::importAnswers(const schema::KeptAnswers &answers, const ClockReading &clock)
{
    for (const auto &it : answers.items()) {
        m_submissions.importAnswer(it, clock);
    }
}

void EntryCore::Impl::sendCachedAnswers(const ClockReading &clock, CoreActions &out)
{
    const auto answers = m_submissions.cachedAnswers(clock);
    const auto alive = m_peers.alivePeers(clock.now);
    for (std::size_t from = 0; from < answers.size(); from += MaxAnswersPerMessage) {
        const std::size_t to = std::min(answers.size(), from + MaxAnswersPerMessage);
        for (const PeerState &peer : alive) {
            SendToPeer action;
            action.peer = peer.id.name;
            for (std::size_t i = from; i < to; ++i) {
                *action.message.mutable_kept_answers()->add_items() = answers[i];
            }
            out.emplace_back(std::move(action));
        }
    }
}

} // namespace Eelgrasscleat
