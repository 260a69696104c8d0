/// @file
/// Asking all, and taking the first answer that knows.
#include "PeerQueries.h"

#include <utility>

namespace Eelgrasscleat
{

/// Set in the request ids of questions; those of forwarded submissions lack it.
static constexpr std::uint64_t QueryBit = std::uint64_t { 1 } << 63;

bool PeerQueries::owns(std::uint64_t requestId)
{
    return (requestId & QueryBit) != 0;
}

std::vector<QueryAnswer> PeerQueries::ask(const PeerQuery &query, const std::vector<PeerId> &peers, CoreActions &out)
{
    if (peers.empty()) {
        return { QueryAnswer { query.caller, query.unknown } };
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
        pending.asked.insert(it);
    }
    return {};
}

std::vector<QueryAnswer> PeerQueries::answered(const PeerId &from, const schema::ForwardedAnswer &answer)
{
    const auto it = m_pending.find(answer.request_id());
    if (it == m_pending.end()) {
        return {};
    }
    Pending &pending = it->second;
    pending.asked.erase(from);
    const bool known = answer.answer().reason() != schema::FAILURE_REASON_UNKNOWN_SUBMISSION;
    if (!known && !pending.asked.empty()) {
        return {};
    }
    QueryAnswer due { pending.query.caller, known ? answer.answer() : pending.query.unknown };
    m_pending.erase(it);
    return { std::move(due) };
}

std::vector<QueryAnswer> PeerQueries::tick(const PeerTracker &peers, Instant now)
{
    std::vector<QueryAnswer> due;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        std::erase_if(it->second.asked, [&](const PeerId &peer) {
            return peers.statusOf(peer.incarnation, now) != IncarnationStatus::Alive;
        });
        if (!it->second.asked.empty()) {
            ++it;
            continue;
        }
        due.push_back(QueryAnswer { it->second.query.caller, it->second.query.unknown });
        it = m_pending.erase(it);
    }
    return due;
}

void PeerQueries::callerGone(CallerId caller)
{
    std::erase_if(m_pending, [caller](const auto &it) { return it.second.query.caller == caller; });
}

} // namespace Eelgrasscleat
