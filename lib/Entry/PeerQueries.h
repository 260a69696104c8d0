/// @file
/// Fetches by key of submissions that this instance doesn't know: all peers are queried, and the first that knows the
/// submission provides the answer.
#pragma once

#include <eelgrasscleat/Entry/CoreEvents.h>
#include <eelgrasscleat/Membership/PeerTracker.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// A caller's fetch that is sent to peers.
struct PeerQuery
{
    CallerId caller;
    CustomerName customer;
    std::string key;
    bool wait = true; ///< The peer answers when the submission has ended, not immediately.
    schema::SubmissionAnswer unknownAnswer; ///< Answer if no peer knows the submission.
};

/// Answer to the caller of a query.
struct QueryAnswer
{
    CallerId caller;
    schema::SubmissionAnswer answer;
};

/// Tracks queries until a peer has provided the answer or none knows it.
class PeerQueries
{
public:
    /// @returns whether @p requestId denotes a query, not a forwarded submission.
    [[nodiscard]] static bool ownsRequest(std::uint64_t requestId);

    /// Sends a query.
    /// @param peers peers to query; if empty, the caller is answered immediately that the submission is unknown
    /// @returns answers that are final now
    std::vector<QueryAnswer> start(const PeerQuery &query, const std::vector<PeerId> &peers, CoreActions &out);
    /// Handles the answer of a peer.
    /// @returns answers that are final now
    std::vector<QueryAnswer> handleAnswer(const PeerId &from, const schema::ForwardedAnswer &answer);
    /// Stops waiting for peers that are no longer alive.
    /// @returns answers that are final now
    std::vector<QueryAnswer> tick(const PeerTracker &peers, Instant now);
    /// Drops the queries of a caller that disconnected.
    void detachCaller(CallerId caller);

private:
    struct Pending
    {
        PeerQuery query;
        std::set<PeerId> unansweredPeers; ///< Queried peers that have not answered yet.
    };

    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Pending> m_pending;
};

} // namespace Eelgrasscleat
