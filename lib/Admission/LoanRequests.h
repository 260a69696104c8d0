/// @file
/// Decides which peers to ask for which permits, so that few messages are wasted: only peers with a base share, one
/// message for all resources, a growing pause after a refusal, and a bound on the bytes sent.
#pragma once

#include "BorrowedLoans.h"

#include <optional>

namespace Eelgrasscleat
{

/// Bytes that requests may use: a steady rate with a burst.
class ByteBudget
{
public:
    /// Adds what has become available since the last call.
    void refill(Instant now);
    /// Spends @p bytes if they are there. When they aren't, nothing more is spent until enough for a few full messages
    /// has come together; many small ones would be mostly headers.
    /// @returns whether they were spent.
    [[nodiscard]] bool spend(std::size_t bytes);

private:
    std::optional<Instant> m_refilledAt;
    std::int64_t m_bytes = 0;
    bool m_isSaving = false;
};

/// Requests for loans and their answers.
class LoanRequests
{
public:
    LoanRequests(LedgerContext &context, ResourceTable &resources, BorrowedLoans &loans, const ShareLayout &layout);

    /// Sends the requests that are due.
    void tick(Instant now, std::vector<LedgerMessage> &out);
    /// Takes an answer. @returns whether a request of this ledger was waiting for it.
    bool granted(const PeerId &lender, const schema::LoanGrant &grant, Instant now);
    /// Lets a peer that has just become reachable be asked at once.
    void forgetBackoff(const InstanceName &peer);
    /// Keeps a peer that wants its permits back from being asked for them at once.
    void pauseAsking(const InstanceName &peer, const schema::LoanGrant &grant, Instant now);

private:
    struct Wanted
    {
        ResourceName resource;
        std::uint32_t count = 0;
    };
    struct PendingRequest
    {
        PeerId peer;
        Instant sentAt;
        std::vector<Wanted> wanted;
    };

    [[nodiscard]] std::uint32_t deficit(const Resource &resource, Instant now) const;
    /// Adds what to ask for of one resource. @returns false if the byte budget is used up.
    bool planResource(Resource &resource, Instant now);
    void send(std::size_t index, Instant now, std::vector<LedgerMessage> &out);
    void settle(Resource &resource, std::size_t index, bool isMet, Instant now) const;
    [[nodiscard]] std::optional<std::size_t> instanceIndex(const InstanceName &name) const;
    [[nodiscard]] Duration longerDelay(Duration delay) const;

    LedgerContext &m_context;
    ResourceTable &m_resources;
    BorrowedLoans &m_loans;
    const ShareLayout &m_layout;
    std::size_t m_ownIndex = 0;
    std::map<std::uint64_t, PendingRequest> m_pending; ///< By request id.
    std::vector<std::vector<Wanted>> m_plan; ///< By instance index.
    std::vector<Instant> m_askNotBefore; ///< By instance index.
    ResourceName m_firstResource; ///< Where the walk over the resources starts.
    ByteBudget m_budget;
};

} // namespace Eelgrasscleat
