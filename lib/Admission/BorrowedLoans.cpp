/// @file
/// Renewal and return of borrowed loans.
#include "BorrowedLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// A loan is renewed after its duration divided by this.
static constexpr int RenewDivisor = 2;
/// An unanswered renewal is retried after the loan's duration divided by this.
static constexpr int RetryDivisor = 8;
/// The minimum interval between partial returns of a loan is its duration divided by this.
static constexpr int ReturnIntervalDivisor = 8;

std::uint32_t LoanItem::free(const LedgerContext &context, Instant now) const
{
    if (context.isStopped || now >= loan->end - context.timing.startMargin || inUse >= allowed) {
        return 0;
    }
    return allowed - inUse;
}

BorrowedLoans::BorrowedLoans(LedgerContext &context)
    : m_context(context)
{
}

bool BorrowedLoans::contains(const LoanKey &key) const
{
    return m_loans.contains(key);
}

void BorrowedLoans::add(
    const PeerId &lender, LoanId id, Duration duration, const std::vector<GrantedPermits> &permits, Instant sentAt)
{
    BorrowedLoan &loan = m_loans[{ .lender = lender.incarnation, .id = id }];
    loan.lender = lender;
    loan.id = id;
    loan.end = sentAt + duration;
    loan.renewAt = sentAt + duration / RenewDivisor;
    for (const GrantedPermits &granted : permits) {
        loan.loanItems.push_back({ .loan = &loan,
                                   .resource = granted.resource,
                                   .allowed = granted.count,
                                   .kept = granted.count,
                                   .keptAtLender = granted.count });
    }
    for (LoanItem &item : loan.loanItems) {
        item.resource->loanItems.push_back(&item);
    }
}

LoanItem *BorrowedLoans::find(const Permit &permit)
{
    const auto it = m_loans.find({ .lender = permit.lender, .id = permit.loan });
    if (it == m_loans.end()) {
        return nullptr;
    }
    for (LoanItem &item : it->second.loanItems) {
        if (item.resource->name == permit.resource) {
            return &item;
        }
    }
    return nullptr;
}

bool BorrowedLoans::handleRenewalAnswer(const PeerId &lender, const schema::LoanGrant &grant)
{
    const auto pending = m_renewals.find(grant.request_id());
    if (pending == m_renewals.end() || pending->second.lender != lender.incarnation) {
        return false;
    }
    const PendingRenewal renewal = std::move(pending->second);
    m_renewals.erase(pending);
    for (const KeptCount &kept : renewal.kept) {
        const auto it = m_loans.find(kept.loan);
        if (it != m_loans.end()) {
            LoanItem &item = it->second.loanItems[kept.item];
            item.keptAtLender = std::min(item.keptAtLender, kept.kept);
        }
    }
    const Duration duration = std::chrono::milliseconds(grant.duration_ms());
    for (const LoanKey &key : renewal.loans) {
        const auto it = m_loans.find(key);
        if (it == m_loans.end()) {
            continue;
        }
        BorrowedLoan &loan = it->second;
        const auto &refused = grant.refused_loan_ids();
        if (std::find(refused.begin(), refused.end(), key.id.value) != refused.end()) {
            loan.isRenewable = false;
            continue;
        }
        loan.end = std::max(loan.end, renewal.sentAt + duration);
        loan.renewAt = std::max(loan.renewAt, renewal.sentAt + duration / RenewDivisor);
    }
    applyReductions(lender, grant);
    return true;
}

void BorrowedLoans::applyReductions(const PeerId &lender, const schema::LoanGrant &grant)
{
    for (const schema::LoanGrant::Item &reduced : grant.items()) {
        std::uint32_t left = reduced.granted();
        const auto first = m_loans.lower_bound({ .lender = lender.incarnation, .id = LoanId() });
        for (auto it = first; it != m_loans.end() && it->first.lender == lender.incarnation; ++it) {
            for (LoanItem &item : it->second.loanItems) {
                if (item.resource->name.value == reduced.resource()) {
                    item.allowed = std::min(item.allowed, left);
                    left -= item.allowed;
                }
            }
        }
    }
}

void BorrowedLoans::markIdleForReturn(Resource &resource,
                                      std::uint32_t surplus,
                                      const LedgerContext &context,
                                      Instant now)
{
    for (auto it = resource.loanItems.rbegin(); it != resource.loanItems.rend() && surplus > 0; ++it) {
        LoanItem &item = **it;
        const std::uint32_t n = std::min(surplus, item.free(context, now));
        item.allowed -= n;
        surplus -= n;
    }
}

void BorrowedLoans::markAllForReturn()
{
    for (auto &[key, loan] : m_loans) {
        for (LoanItem &item : loan.loanItems) {
            item.allowed = 0;
        }
    }
}

void BorrowedLoans::updateKept(BorrowedLoan &loan)
{
    for (LoanItem &item : loan.loanItems) {
        const std::uint32_t needed = std::max(item.allowed, item.inUse);
        if (needed < item.kept) {
            item.kept = needed;
            loan.hasUnreportedReturns = true;
        }
    }
}

bool BorrowedLoans::canRenew(const BorrowedLoan &loan, Instant now) const
{
    return loan.isRenewable && now < loan.end && m_context.isPeer(loan.lender);
}

bool BorrowedLoans::isRenewalDue(const BorrowedLoan &loan, Instant now) const
{
    if (!canRenew(loan, now)) {
        return false;
    }
    return now >= loan.renewAt || (loan.hasUnreportedReturns && now >= loan.returnNotBefore);
}

void BorrowedLoans::addKeptCounts(const LoanKey &key,
                                  const BorrowedLoan &loan,
                                  schema::LoanRenew &renew,
                                  PendingRenewal &pending)
{
    for (std::size_t i = 0; i < loan.loanItems.size(); ++i) {
        const LoanItem &item = loan.loanItems[i];
        if (item.kept == item.keptAtLender) {
            continue;
        }
        schema::LoanRenew::Kept *kept = renew.add_kept();
        kept->set_loan_id(loan.id.value);
        kept->set_resource(item.resource->name.value);
        kept->set_kept(item.kept);
        pending.kept.push_back({ .loan = key, .item = i, .kept = item.kept });
    }
}

void BorrowedLoans::renewLender(Loans::iterator first,
                                Loans::iterator end,
                                Instant now,
                                std::vector<LedgerMessage> &out)
{
    const bool isAnyDue = std::any_of(first, end, [&](const auto &loan) { return isRenewalDue(loan.second, now); });
    if (!isAnyDue) {
        return;
    }
    LedgerMessage message = m_context.makeMessage(first->second.lender);
    schema::LoanRenew *renew = message.message.mutable_loan_renew();
    renew->set_request_id(++m_context.lastRequestId);
    PendingRenewal pending { .lender = first->first.lender, .sentAt = now, .loans = {}, .kept = {} };
    // Loans that are not due yet are renewed as well, so that the renewals of one lender converge to a single message.
    for (auto it = first; it != end; ++it) {
        BorrowedLoan &loan = it->second;
        if (!canRenew(loan, now)) {
            continue;
        }
        addKeptCounts(it->first, loan, *renew, pending);
        if (pending.loans.empty()) {
            renew->set_loan_id(loan.id.value);
        } else {
            renew->add_more_loan_ids(loan.id.value);
        }
        pending.loans.push_back(it->first);
        loan.hasUnreportedReturns = false;
        loan.returnNotBefore = now + m_context.timing.duration / ReturnIntervalDivisor;
        loan.renewAt = now + m_context.timing.duration / RetryDivisor;
    }
    m_renewals.emplace(m_context.lastRequestId, std::move(pending));
    out.push_back(std::move(message));
}

void BorrowedLoans::drop(Loans::iterator it)
{
    for (LoanItem &item : it->second.loanItems) {
        std::erase(item.resource->loanItems, &item);
    }
    m_loans.erase(it);
}

void BorrowedLoans::returnUnused(Instant now, std::vector<LedgerMessage> &out)
{
    const std::size_t messageCount = out.size();
    IncarnationId lender;
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        const auto current = it++;
        BorrowedLoan &loan = current->second;
        updateKept(loan);
        bool isInUse = false;
        bool isKept = false;
        for (const LoanItem &item : loan.loanItems) {
            isInUse = isInUse || item.inUse > 0;
            isKept = isKept || item.kept > 0;
        }
        if (isInUse || (isKept && now < loan.end)) {
            continue;
        }
        // Loans are sorted by lender, so one message covers all loans returned to a lender.
        if (out.size() > messageCount && lender == loan.lender.incarnation) {
            out.back().message.mutable_loan_return()->add_more_loan_ids(loan.id.value);
        } else {
            lender = loan.lender.incarnation;
            out.push_back(m_context.makeMessage(loan.lender));
            out.back().message.mutable_loan_return()->set_loan_id(loan.id.value);
        }
        drop(current);
    }
}

void BorrowedLoans::tick(Instant now, std::vector<LedgerMessage> &out)
{
    std::erase_if(m_renewals,
                  [&](const auto &renewal) { return now >= renewal.second.sentAt + m_context.timing.duration; });
    if (m_context.isStopped) {
        markAllForReturn();
    }
    returnUnused(now, out);
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        const IncarnationId lender = it->first.lender;
        const auto end =
            std::find_if(it, m_loans.end(), [lender](const auto &loan) { return loan.first.lender != lender; });
        renewLender(it, end, now, out);
        it = end;
    }
}

} // namespace Eelgrasscleat
