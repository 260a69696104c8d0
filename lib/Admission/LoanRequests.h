/// @file
/// Decides which permits to request from which peers. To limit traffic, only peers with a base share are asked, one
/// message covers all resources, refusals cause exponential backoff, and the bytes sent are rate limited.
#pragma once

#include "BorrowedLoans.h"

#include <optional>

namespace Eelgrasscleat
{

/// Token bucket for the bytes sent in requests.
class ByteBudget
{
public:
    /// Adds the tokens accrued since the last call.
    void refill(Instant now);
    /// Consumes @p bytes if they are available. Once exhausted, the bucket refuses until it holds enough for a few full
    /// messages, because many small messages would consist mostly of headers.
    /// @returns whether the bytes were consumed.
    [[nodiscard]] bool tryConsume(std::size_t bytes);

private:
    std::optional<Instant> m_lastRefill;
    std::int64_t m_bytes = 0;
    bool m_isExhausted = false;
};

/// Sends requests for loans and handles their answers.
class LoanRequests
{
public:
    LoanRequests(LedgerContext &context, ResourceTable &resources, BorrowedLoans &loans, const ShareLayout &layout);

    /// Sends the requests that are due.
    void tick(Instant now, std::vector<LedgerMessage> &out);
    /// Handles a grant that answers a request.
    /// @returns whether the grant answers a pending request.
    bool handleGrant(const PeerId &lender, const schema::LoanGrant &grant, Instant now);
    /// Resets the backoff of a peer that has become reachable.
    void resetBackoff(const InstanceName &peer);
    /// Delays requests to a peer for the permits that it has requested to be returned.
    void delayRequests(const InstanceName &peer, const schema::LoanGrant &grant, Instant now);

private:
    struct RequestedPermits
    {
        ResourceName resource;
        std::uint32_t count = 0;
    };
    struct PendingRequest
    {
        PeerId peer;
        Instant sentAt;
        std::vector<RequestedPermits> wanted;
    };

    [[nodiscard]] std::uint32_t deficit(const Resource &resource, Instant now) const;
    /// Adds the requests for one resource to the plan.
    /// @returns false if the byte budget is exhausted.
    bool planRequests(Resource &resource, Instant now);
    void send(std::size_t index, Instant now, std::vector<LedgerMessage> &out);
    void recordAnswer(Resource &resource, std::size_t index, bool isFullyGranted, Instant now) const;
    [[nodiscard]] std::optional<std::size_t> instanceIndex(const InstanceName &name) const;
    [[nodiscard]] Duration nextDelay(Duration delay) const;

    LedgerContext &m_context;
    ResourceTable &m_resources;
    BorrowedLoans &m_loans;
    const ShareLayout &m_layout;
    std::size_t m_ownIndex = 0;
    std::map<std::uint64_t, PendingRequest> m_pending; ///< By request id.
    std::vector<std::vector<RequestedPermits>> m_plan; ///< By instance index.
    std::vector<Instant> m_requestNotBefore; ///< By instance index.
    ResourceName m_firstResource; ///< Where the iteration over the resources starts.
    ByteBudget m_budget;
};

} // namespace Eelgrasscleat
