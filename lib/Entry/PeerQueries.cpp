/// @file
/// Query of all peers; the first answer from one that knows the submission is final.
#include "PeerQueries.h"

#include <utility>

namespace Eelgrasscleat
{

/// Bit that is set in the request ids of queries and clear in those of forwarded submissions.
static constexpr std::uint64_t QueryBit = std::uint64_t { 1 } << 63;

bool PeerQueries::ownsRequest(std::uint64_t requestId)
{
    return (requestId & QueryBit) != 0;
}

std::vector<QueryAnswer> PeerQueries::start(const PeerQuery &query, const std::vector<PeerId> &peers, CoreActions &out)
{
    if (peers.empty()) {
        return { QueryAnswer { query.caller, query.unknownAnswer } };
    }
    const std::uint64_t id = ++m_lastId | QueryBit;
    Pending &pending = m_pending[id];
    pending.query = query;
    for (const PeerId &it : peers) {
        SendToPeer action;
        action.peer = it.name;
        action.message.set_to_incarnation(it.incarnation.value);
        auto *body = action.message.mutable_forward_fetch();
        body->set_request_id(id);
        body->set_customer(query.customer.value);
        body->set_key(query.key);
        body->set_wait(query.wait);
        out.emplace_back(std::move(action));
        pending.unansweredPeers.insert(it);
    }
    return {};
}

std::vector<QueryAnswer> PeerQueries::handleAnswer(const PeerId &from, const schema::ForwardedAnswer &answer)
{
    const auto it = m_pending.find(answer.request_id());
    if (it == m_pending.end()) {
        return {};
    }
    Pending &pending = it->second;
    pending.unansweredPeers.erase(from);
    const bool isKnown = answer.answer().reason() != schema::FAILURE_REASON_UNKNOWN_SUBMISSION;
    if (!isKnown && !pending.unansweredPeers.empty()) {
        return {};
    }
    QueryAnswer result { pending.query.caller, isKnown ? answer.answer() : pending.query.unknownAnswer };
    m_pending.erase(it);
    return { std::move(result) };
}

std::vector<QueryAnswer> PeerQueries::tick(const PeerTracker &peers, Instant now)
{
    std::vector<QueryAnswer> results;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        std::erase_if(it->second.unansweredPeers, [&](const PeerId &peer) {
            return peers.statusOf(peer.incarnation, now) != IncarnationStatus::Alive;
        });
        if (!it->second.unansweredPeers.empty()) {
            ++it;
            continue;
        }
        results.push_back(QueryAnswer { it->second.query.caller, it->second.query.unknownAnswer });
        it = m_pending.erase(it);
    }
    return results;
}

void PeerQueries::detachCaller(CallerId caller)
{
    std::erase_if(m_pending, [caller](const auto &it) { return it.second.query.caller == caller; });
}

} // namespace Eelgrasscleat
