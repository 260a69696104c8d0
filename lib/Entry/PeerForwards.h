/// @file
/// Submissions forwarded to their home on another instance, and requests that other instances forwarded to this one.
/// Messages between instances may be lost, delayed or duplicated: an unanswered forward is sent again, and the receiver
/// ignores duplicates of a request that it is already handling.
#pragma once

#include <eelgrasscleat/Entry/CoreEvents.h>
#include <eelgrasscleat/Execution/SubmissionTable.h>
#include <eelgrasscleat/Membership/PeerTracker.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

/// Identifies a request that a peer forwarded to this instance.
struct PeerRequest
{
    PeerId peer;
    std::uint64_t requestId = 0;
    auto operator<=>(const PeerRequest &) const = default;
};

/// Tracks forwarded requests in both directions until they are answered.
class PeerForwards
{
public:
    /// @param repeatInterval time without an answer after which a forward is sent again
    PeerForwards(PeerId self, Duration repeatInterval);

    /// Sends a submission to its home, or reports to @p table that the home is unreachable. Waits for the first
    /// heartbeat of a home that is not known yet.
    void forward(const ForwardToHome &forward,
                 const PeerTracker &peers,
                 SubmissionTable &table,
                 const ClockReading &clock,
                 ExecutionActions &execution,
                 CoreActions &out);
    /// Sends a cancel to a submission's home. Delivery isn't guaranteed.
    void forwardCancel(const ForwardCancelToHome &cancel, const PeerTracker &peers, CoreActions &out) const;
    /// Handles the answer of a home to a forwarded submission.
    void handleAnswer(const schema::ForwardedAnswer &answer, SubmissionTable &table, ExecutionActions &out);
    /// Reports the forwards to a peer as lost, since its stream was lost or its incarnation ended or is unreachable.
    void handlePeerLost(const InstanceName &peer,
                        const PeerTracker &peers,
                        SubmissionTable &table,
                        const ClockReading &clock,
                        ExecutionActions &out);
    /// Sends unanswered forwards again, and reports those to unreachable peers as lost.
    void tick(const PeerTracker &peers,
              SubmissionTable &table,
              const ClockReading &clock,
              ExecutionActions &execution,
              CoreActions &out);

    /// Registers a peer's request.
    /// @returns the caller id for the request, or nothing if the same request is already being handled.
    std::optional<CallerId> beginRequest(const PeerRequest &request);
    /// Sends the answer to the peer that made the request.
    /// @returns false if @p caller does not denote a peer's request.
    bool answerRequest(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out);
    /// @returns the number of unanswered forwards.
    [[nodiscard]] std::size_t pending() const;

private:
    /// A submission that awaits the first heartbeat of its home, which may just have started.
    struct DeferredForward
    {
        ForwardToHome forward;
        Instant giveUpAt;
    };

    struct Forward
    {
        IncarnationId home;
        InstanceName peer;
        schema::Submission body;
        Instant sentAt;
    };

    void sendDeferred(const PeerTracker &peers,
                      SubmissionTable &table,
                      const ClockReading &clock,
                      ExecutionActions &execution,
                      CoreActions &out);
    void send(SubmissionId id, const Forward &forward, CoreActions &out) const;

    PeerId m_self;
    Duration m_repeatInterval;
    std::map<SubmissionId, Forward> m_forwards;
    std::map<SubmissionId, DeferredForward> m_deferred;
    std::map<CallerId, PeerRequest> m_requests;
    std::set<PeerRequest> m_openRequests;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Eelgrasscleat
