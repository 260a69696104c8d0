/// @file
/// Events of other entry instances: heartbeats, forwarded submissions, loans, the configuration, kept answers.
#include "EntryState.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Most kept answers in one message to a peer.
static constexpr int AnswersPerMessage = 64;

static PeerId senderOf(const schema::PeerMessage &message)
{
    return PeerId { InstanceName(message.from_instance()), IncarnationId(message.from_incarnation()) };
}

void EntryCore::State::handle(const PeerMessageArrived &event, const ClockReading &clock, CoreActions &out)
{
    const schema::PeerMessage &message = event.message;
    const PeerId from = senderOf(message);
    if (!m_peerNames.contains(from.name)) {
        return;
    }
    if (message.has_heartbeat()) {
        // Those for an earlier incarnation of this name too: they tell that the sender is alive.
        heartbeatFrom(message, clock, out);
        return;
    }
    if (message.to_incarnation() != 0 && message.to_incarnation() != m_self.incarnation.value) {
        // Meant for an earlier process under this name: what it knew is gone.
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
        if (PeerQueries::owns(message.forwarded_answer().request_id())) {
            answerAll(m_queries.answered(from, message.forwarded_answer()), out);
            return;
        }
        ExecutionActions actions;
        m_forwards.answered(message.forwarded_answer(), m_table, actions);
        carryOut(actions, clock, out);
        return;
    }
    case schema::PeerMessage::kForwardCancel:
        cancelForPeer(message.forward_cancel(), clock, out);
        return;
    case schema::PeerMessage::kForwardFetch:
        fetchForPeer(from, message.forward_fetch(), clock, out);
        return;
    case schema::PeerMessage::kConfigRequest:
        carryOutConfig(m_follower.tailRequested(from, message.config_request()), clock, out);
        return;
    case schema::PeerMessage::kConfigTail:
        carryOutConfig(m_follower.tailReceived(from, message.config_tail(), clock.now), clock, out);
        return;
    case schema::PeerMessage::kKeptAnswers:
        keepAnswers(message.kept_answers(), clock);
        return;
    case schema::PeerMessage::kDispatchStatus:
    case schema::PeerMessage::kDispatchJob:
    case schema::PeerMessage::kDispatchCancel:
    case schema::PeerMessage::kDispatchEnd:
    case schema::PeerMessage::kFleetConfigRequest:
    case schema::PeerMessage::kFleetConfig:
        // Between dispatching instances (lib/Node), which entry instances are not.
    case schema::PeerMessage::kHeartbeat:
    case schema::PeerMessage::KIND_NOT_SET:
        return;
    }
}

void EntryCore::State::handle(const PeerStreamChanged &event, const ClockReading &clock, CoreActions &out)
{
    if (event.up) {
        return;
    }
    ExecutionActions actions;
    m_forwards.peerLost(event.peer, m_peers, m_table, clock, actions);
    carryOut(actions, clock, out);
}

void EntryCore::State::submitForPeer(const PeerId &from,
                                     const schema::ForwardSubmission &forward,
                                     const ClockReading &clock,
                                     CoreActions &out)
{
    const auto caller = m_forwards.beginQuestion(PeerQuestion { from, forward.request_id() });
    if (caller) {
        submit(forward.submission(), *caller, true, clock, out);
    }
}

void EntryCore::State::fetchForPeer(const PeerId &from,
                                    const schema::ForwardFetch &fetch,
                                    const ClockReading &clock,
                                    CoreActions &out)
{
    const auto caller = m_forwards.beginQuestion(PeerQuestion { from, fetch.request_id() });
    if (!caller) {
        return;
    }
    ExecutionActions actions;
    m_table.fetch(CustomerName(fetch.customer()), fetch.key(), *caller, fetch.wait(), actions);
    carryOut(actions, clock, out);
}

void EntryCore::State::cancelForPeer(const schema::ForwardCancel &cancel, const ClockReading &clock, CoreActions &out)
{
    // Nobody waits for an answer: the peer's own waiters get that of the cancelled submission.
    ExecutionActions actions;
    m_table.cancel(CustomerName(cancel.customer()), cancel.key(), CallerId(), clock, actions);
    carryOut(actions, clock, out);
}

void EntryCore::State::heartbeatFrom(const schema::PeerMessage &message, const ClockReading &clock, CoreActions &out)
{
    const PeerId from = senderOf(message);
    const schema::Heartbeat &heartbeat = message.heartbeat();
    m_exchange.received(from, IncarnationId(message.to_incarnation()), heartbeat, clock.now);
    for (const std::string &it : heartbeat.leaving_targets()) {
        m_presence.reportedLeaving(TargetName(it), clock.now);
    }
    carryOutConfig(m_follower.heartbeatReceived(from, heartbeat, clock.now), clock, out);
}

void EntryCore::State::sendHeartbeats(const ClockReading &clock, CoreActions &out)
{
    if (m_nextHeartbeat && clock.now < *m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = clock.now + std::chrono::milliseconds(m_settings.dispatch().heartbeat_ms());
    schema::Heartbeat heartbeat;
    m_follower.fillHeartbeat(heartbeat, clock.now);
    heartbeat.set_leaving(m_stopping);
    for (const TargetName &it : m_presence.recentRefusals(clock.now)) {
        heartbeat.add_leaving_targets(it.value);
    }
    m_exchange.startRound(clock.now);
    for (const InstanceName &name : m_peerNames) {
        SendToPeer action;
        action.peer = name;
        *action.message.mutable_heartbeat() = heartbeat;
        const PeerId peer = m_peers.current(name).value_or(PeerId { name, IncarnationId() });
        m_exchange.fill(*action.message.mutable_heartbeat(), peer, clock.now);
        action.message.set_to_incarnation(peer.incarnation.value);
        out.emplace_back(std::move(action));
    }
}

void EntryCore::State::keepAnswers(const schema::KeptAnswers &answers, const ClockReading &clock)
{
    for (const auto &it : answers.items()) {
        m_table.keepAnswer(it, clock);
    }
}

void EntryCore::State::sendKeptAnswers(const ClockReading &clock, CoreActions &out)
{
    const auto kept = m_table.keptAnswers(clock);
    const auto alive = m_peers.alive(clock.now);
    for (std::size_t from = 0; from < kept.size(); from += AnswersPerMessage) {
        const std::size_t to = std::min(kept.size(), from + AnswersPerMessage);
        for (const PeerState &peer : alive) {
            SendToPeer action;
            action.peer = peer.id.name;
            for (std::size_t i = from; i < to; ++i) {
                *action.message.mutable_kept_answers()->add_items() = kept[i];
            }
            out.emplace_back(std::move(action));
        }
    }
}

} // namespace Eelgrasscleat
