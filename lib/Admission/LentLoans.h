/// @file
/// The lending side of the ledger. A lent permit counts as in use until the borrower returns it, or until the loan
/// has ended on this clock, with a margin, and the longest run of work started under it has passed.
#pragma once

#include "ResourceTable.h"

namespace Eelgrasscleat
{

/// Loans given to peers.
class LentLoans
{
public:
    LentLoans(LedgerContext &context, ResourceTable &resources);

    /// Answers a request with a grant of what can be spared, maybe nothing.
    void request(const PeerId &from, const schema::LoanRequest &request, Instant now, std::vector<LedgerMessage> &out);
    /// Answers a renewal, and takes back what the borrower no longer keeps.
    void renew(const PeerId &from, const schema::LoanRenew &renew, Instant now, std::vector<LedgerMessage> &out);
    void giveBack(const PeerId &from, const schema::LoanReturn &loanReturn);
    /// Takes back what can't be in use any more.
    void reclaim(Instant now);
    /// The longest run of a resource has grown: loans that are out may be used for it.
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
        Instant end; ///< The borrower's own end is not later, whatever its clock.
        std::vector<Item> items;
    };

    [[nodiscard]] std::uint32_t
    spareFor(const Resource &resource, const PeerId &borrower, std::uint32_t wanted, Instant now) const;
    [[nodiscard]] std::uint32_t heldBy(const Resource &resource, const PeerId &borrower) const;
    [[nodiscard]] Loan *find(const PeerId &borrower, LoanId id);
    void giveBack(const PeerId &from, LoanId id);
    void takeBack(Item &item, std::uint32_t kept);
    /// @returns whether the loan was prolonged.
    bool prolong(const PeerId &borrower, LoanId id, Instant now);
    void addRequestedReductions(const PeerId &borrower, Instant now, schema::LoanGrant &grant);
    void addGrant(LoanId id, const Loan &loan, std::vector<LedgerMessage> &out) const;

    LedgerContext &m_context;
    ResourceTable &m_resources;
    std::map<LoanId, Loan> m_loans;
    std::uint64_t m_lastLoanId = 0;
};

} // namespace Eelgrasscleat
