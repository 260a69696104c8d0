/// @file
/// Loans granted to peers. A lent permit counts as in use until the borrower returns it, or until the loan and a margin
/// for clock drift have expired on this instance's clock and the maximum run time of a task has elapsed after that.
#pragma once

#include "ResourceTable.h"

namespace Eelgrasscleat
{

/// Grants, renews and reclaims loans to peers.
class LentLoans
{
public:
    LentLoans(LedgerContext &context, ResourceTable &resources);

    /// Answers a request with a grant of the available permits, which may be empty.
    void
    handleRequest(const PeerId &from, const schema::LoanRequest &request, Instant now, std::vector<LedgerMessage> &out);
    /// Answers a renewal and reclaims the permits that the borrower no longer keeps.
    void
    handleRenewal(const PeerId &from, const schema::LoanRenew &renew, Instant now, std::vector<LedgerMessage> &out);
    void handleReturn(const PeerId &from, const schema::LoanReturn &loanReturn);
    /// Reclaims permits that can no longer be in use.
    void reclaimExpired(Instant now);
    /// Raises the maximum run time assumed for outstanding loans, which may be used for the longer tasks.
    void raiseMaxRunTime(const Resource &resource, Duration maxRunTime);

private:
    struct Item
    {
        Resource *resource = nullptr;
        std::uint32_t count = 0;
        Duration maxRunTime {};
    };
    struct Loan
    {
        PeerId borrower;
        std::uint64_t requestId = 0;
        Instant end; ///< The loan expires at the borrower no later than this.
        std::vector<Item> items;
    };

    [[nodiscard]] std::uint32_t
    grantableTo(const Resource &resource, const PeerId &borrower, std::uint32_t wanted, Instant now) const;
    [[nodiscard]] std::uint32_t lentTo(const Resource &resource, const PeerId &borrower) const;
    [[nodiscard]] Loan *find(const PeerId &borrower, LoanId id);
    void returnLoan(const PeerId &from, LoanId id);
    void reduceCount(Item &item, std::uint32_t kept);
    /// @returns whether the loan was extended.
    bool extend(const PeerId &borrower, LoanId id, Instant now);
    void addRequestedReductions(const PeerId &borrower, Instant now, schema::LoanGrant &grant);
    void appendGrant(LoanId id, const Loan &loan, std::vector<LedgerMessage> &out) const;

    LedgerContext &m_context;
    ResourceTable &m_resources;
    std::map<LoanId, Loan> m_loans;
    std::uint64_t m_lastLoanId = 0;
};

} // namespace Eelgrasscleat
