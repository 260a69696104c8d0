/// @file
/// The borrowing side of the ledger.
#include "BorrowedLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// A loan is renewed when this part of its duration has passed: one in this many.
static constexpr int RenewDivisor = 2;
/// A renewal without an answer is repeated after this part of the duration.
static constexpr int RepeatDivisor = 8;
/// Returns of parts of a loan are at least this part of the duration apart.
static constexpr int ReturnDivisor = 8;

std::uint32_t Holding::free(const LedgerContext &context, Instant now) const
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
        loan.holdings.push_back({ .loan = &loan,
                                  .resource = granted.resource,
                                  .allowed = granted.count,
                                  .kept = granted.count,
                                  .keptAtLender = granted.count });
    }
    for (Holding &holding : loan.holdings) {
        holding.resource->holdings.push_back(&holding);
    }
}

Holding *BorrowedLoans::find(const Permit &permit)
{
    const auto it = m_loans.find({ .lender = permit.lender, .id = permit.loan });
    if (it == m_loans.end()) {
        return nullptr;
    }
    for (Holding &holding : it->second.holdings) {
        if (holding.resource->name == permit.resource) {
            return &holding;
        }
    }
    return nullptr;
}

bool BorrowedLoans::renewalAnswered(const PeerId &lender, const schema::LoanGrant &grant)
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
            Holding &holding = it->second.holdings[kept.holding];
            holding.keptAtLender = std::min(holding.keptAtLender, kept.kept);
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
            for (Holding &holding : it->second.holdings) {
                if (holding.resource->name.value == reduced.resource()) {
                    holding.allowed = std::min(holding.allowed, left);
                    left -= holding.allowed;
                }
            }
        }
    }
}

void BorrowedLoans::giveUpIdle(Resource &resource, std::uint32_t surplus, const LedgerContext &context, Instant now)
{
    for (auto it = resource.holdings.rbegin(); it != resource.holdings.rend() && surplus > 0; ++it) {
        Holding &holding = **it;
        const std::uint32_t n = std::min(surplus, holding.free(context, now));
        holding.allowed -= n;
        surplus -= n;
    }
}

void BorrowedLoans::giveUpAll()
{
    for (auto &[key, loan] : m_loans) {
        for (Holding &holding : loan.holdings) {
            holding.allowed = 0;
        }
    }
}

void BorrowedLoans::lowerKept(BorrowedLoan &loan)
{
    for (Holding &holding : loan.holdings) {
        const std::uint32_t needed = std::max(holding.allowed, holding.inUse);
        if (needed < holding.kept) {
            holding.kept = needed;
            loan.hasNewReturns = true;
        }
    }
}

bool BorrowedLoans::canRenew(const BorrowedLoan &loan, Instant now) const
{
    return loan.isRenewable && now < loan.end && m_context.isPeer(loan.lender);
}

bool BorrowedLoans::mustRenew(const BorrowedLoan &loan, Instant now) const
{
    if (!canRenew(loan, now)) {
        return false;
    }
    return now >= loan.renewAt || (loan.hasNewReturns && now >= loan.returnNotBefore);
}

void BorrowedLoans::addKept(const LoanKey &key,
                            const BorrowedLoan &loan,
                            schema::LoanRenew &renew,
                            PendingRenewal &pending)
{
    for (std::size_t i = 0; i < loan.holdings.size(); ++i) {
        const Holding &holding = loan.holdings[i];
        if (holding.kept == holding.keptAtLender) {
            continue;
        }
        schema::LoanRenew::Kept *kept = renew.add_kept();
        kept->set_loan_id(loan.id.value);
        kept->set_resource(holding.resource->name.value);
        kept->set_kept(holding.kept);
        pending.kept.push_back({ .loan = key, .holding = i, .kept = holding.kept });
    }
}

void BorrowedLoans::renewLender(Loans::iterator first,
                                Loans::iterator end,
                                Instant now,
                                std::vector<LedgerMessage> &out)
{
    const bool isDue = std::any_of(first, end, [&](const auto &loan) { return mustRenew(loan.second, now); });
    if (!isDue) {
        return;
    }
    LedgerMessage message = m_context.makeMessage(first->second.lender);
    schema::LoanRenew *renew = message.message.mutable_loan_renew();
    renew->set_request_id(++m_context.lastRequestId);
    PendingRenewal pending { .lender = first->first.lender, .sentAt = now, .loans = {}, .kept = {} };
    // Loans that are not due yet go along, so that all loans of one lender soon need one message.
    for (auto it = first; it != end; ++it) {
        BorrowedLoan &loan = it->second;
        if (!canRenew(loan, now)) {
            continue;
        }
        addKept(it->first, loan, *renew, pending);
        if (pending.loans.empty()) {
            renew->set_loan_id(loan.id.value);
        } else {
            renew->add_more_loan_ids(loan.id.value);
        }
        pending.loans.push_back(it->first);
        loan.hasNewReturns = false;
        loan.returnNotBefore = now + m_context.timing.duration / ReturnDivisor;
        loan.renewAt = now + m_context.timing.duration / RepeatDivisor;
    }
    m_renewals.emplace(m_context.lastRequestId, std::move(pending));
    out.push_back(std::move(message));
}

void BorrowedLoans::drop(Loans::iterator it)
{
    for (Holding &holding : it->second.holdings) {
        std::erase(holding.resource->holdings, &holding);
    }
    m_loans.erase(it);
}

void BorrowedLoans::returnEnded(Instant now, std::vector<LedgerMessage> &out)
{
    const std::size_t messageCount = out.size();
    IncarnationId lender;
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        const auto current = it++;
        BorrowedLoan &loan = current->second;
        lowerKept(loan);
        bool isInUse = false;
        bool isKept = false;
        for (const Holding &holding : loan.holdings) {
            isInUse = isInUse || holding.inUse > 0;
            isKept = isKept || holding.kept > 0;
        }
        if (isInUse || (isKept && now < loan.end)) {
            continue;
        }
        // Loans are sorted by lender, so one message holds all that go back to it.
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
        giveUpAll();
    }
    returnEnded(now, out);
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        const IncarnationId lender = it->first.lender;
        const auto end =
            std::find_if(it, m_loans.end(), [lender](const auto &loan) { return loan.first.lender != lender; });
        renewLender(it, end, now, out);
        it = end;
    }
}

} // namespace Eelgrasscleat
