/// @file
/// Loans borrowed from peers. The duration of a loan starts when its request or last renewal is sent, measured on this
/// instance's clock, so a loan expires at the borrower before it expires at the lender.
#pragma once

#include "ResourceTable.h"

namespace Eelgrasscleat
{

struct BorrowedLoan;

/// The permits of one resource that belong to one loan.
struct LoanItem
{
    BorrowedLoan *loan = nullptr;
    Resource *resource = nullptr;
    std::uint32_t allowed = 0; ///< No permit is acquired while this many or more are in use.
    std::uint32_t kept = 0; ///< Permits not returned; never less than inUse.
    std::uint32_t keptAtLender = 0; ///< The value of kept last acknowledged by the lender.
    std::uint32_t inUse = 0;

    /// @returns the number of permits that can be acquired.
    [[nodiscard]] std::uint32_t free(const LedgerContext &context, Instant now) const;
};

/// Identifies a loan.
struct LoanKey
{
    IncarnationId lender;
    LoanId id;
    auto operator<=>(const LoanKey &) const = default;
};

/// A loan granted by a peer.
struct BorrowedLoan
{
    PeerId lender;
    LoanId id;
    Instant end;
    Instant renewAt;
    Instant returnNotBefore = Instant::min(); ///< Earliest time of the next partial return.
    bool isRenewable = true;
    bool hasUnreportedReturns = false; ///< kept has been lowered since the last renewal was sent.
    std::vector<LoanItem> loanItems; ///< Not resized after the loan is added, so that pointers to elements stay valid.
};

/// Permits of one resource that were granted by a lender.
struct GrantedPermits
{
    Resource *resource = nullptr;
    std::uint32_t count = 0;
};

/// Stores, renews and returns the loans granted by peers.
class BorrowedLoans
{
public:
    explicit BorrowedLoans(LedgerContext &context);

    [[nodiscard]] bool contains(const LoanKey &key) const;
    /// Adds a loan that was requested at @p sentAt.
    void
    add(const PeerId &lender, LoanId id, Duration duration, const std::vector<GrantedPermits> &permits, Instant sentAt);
    /// @returns the loan item that a permit was acquired from, or nullptr if it no longer exists.
    [[nodiscard]] LoanItem *find(const Permit &permit);
    /// Handles a grant that answers a renewal.
    /// @returns whether the grant answers a pending renewal.
    bool handleRenewalAnswer(const PeerId &lender, const schema::LoanGrant &grant);
    /// Marks up to @p surplus idle permits of a resource for return, newest loans first.
    static void markIdleForReturn(Resource &resource, std::uint32_t surplus, const LedgerContext &context, Instant now);
    /// Renews loans in use and returns permits marked for return. During a graceful shutdown, returns all idle permits.
    void tick(Instant now, std::vector<LedgerMessage> &out);

private:
    using Loans = std::map<LoanKey, BorrowedLoan>;
    struct KeptCount
    {
        LoanKey loan;
        std::size_t item = 0; ///< Index into the items of the loan.
        std::uint32_t kept = 0;
    };
    struct PendingRenewal
    {
        IncarnationId lender;
        Instant sentAt;
        std::vector<LoanKey> loans;
        std::vector<KeptCount> kept;
    };

    void markAllForReturn();
    static void updateKept(BorrowedLoan &loan);
    void returnUnused(Instant now, std::vector<LedgerMessage> &out);
    [[nodiscard]] bool canRenew(const BorrowedLoan &loan, Instant now) const;
    [[nodiscard]] bool isRenewalDue(const BorrowedLoan &loan, Instant now) const;
    /// Renews the loans of one lender, which are adjacent in the range [@p first, @p end).
    void renewLender(Loans::iterator first, Loans::iterator end, Instant now, std::vector<LedgerMessage> &out);
    static void
    addKeptCounts(const LoanKey &key, const BorrowedLoan &loan, schema::LoanRenew &renew, PendingRenewal &pending);
    void applyReductions(const PeerId &lender, const schema::LoanGrant &grant);
    void drop(Loans::iterator it);

    LedgerContext &m_context;
    Loans m_loans;
    std::map<std::uint64_t, PendingRenewal> m_renewals; ///< By request id.
};

} // namespace Eelgrasscleat
