/// @file
/// The lending side of the ledger.
#include "LentLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Part of the base share that a lender with work of its own keeps: one in this many.
static constexpr std::uint32_t ReserveDivisor = 8;

/// A claim counts for the loan's duration divided by this, which is longer than the longest pause between requests.
static constexpr int ClaimDivisor = 2;

static std::uint32_t durationMs(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

/// @returns how many others than @p borrower want the permits of @p resource, the lender itself included.
static std::uint32_t countRivals(const Resource &resource, const PeerId &borrower, Instant now)
{
    std::uint32_t n = resource.waiting > 0 ? 1 : 0;
    for (const auto &[incarnation, until] : resource.claims) {
        if (incarnation != borrower.incarnation && now < until) {
            ++n;
        }
    }
    return n;
}

LentLoans::LentLoans(LedgerContext &context, ResourceTable &resources)
    : m_context(context)
    , m_resources(resources)
{
}

std::uint32_t LentLoans::heldBy(const Resource &resource, const PeerId &borrower) const
{
    std::uint32_t n = 0;
    for (const auto &[id, loan] : m_loans) {
        if (loan.borrower != borrower) {
            continue;
        }
        for (const Item &item : loan.items) {
            n += item.resource == &resource ? item.count : 0;
        }
    }
    return n;
}

std::uint32_t
LentLoans::spareFor(const Resource &resource, const PeerId &borrower, std::uint32_t wanted, Instant now) const
{
    std::uint32_t spare = resource.freeBase(m_context);
    std::uint32_t reserve = resource.waiting;
    if (resource.baseInUse > 0) {
        reserve += std::max(1U, resource.base / ReserveDivisor);
    }
    spare -= std::min(spare, reserve);
    if (spare == 0) {
        return 0;
    }
    const std::uint32_t rivals = countRivals(resource, borrower, now);
    if (rivals > 0) {
        const std::uint32_t fair = std::max(1U, resource.base / (rivals + 1));
        const std::uint32_t held = heldBy(resource, borrower);
        spare = std::min(spare, fair - std::min(fair, held));
    }
    return std::min(spare, wanted);
}

void LentLoans::request(const PeerId &from,
                        const schema::LoanRequest &request,
                        Instant now,
                        std::vector<LedgerMessage> &out)
{
    for (const auto &[id, loan] : m_loans) {
        if (loan.borrower == from && loan.requestId == request.request_id()) {
            addGrant(id, loan, out); // The request came twice; so may its answer, but the loan is the same.
            return;
        }
    }
    Loan loan { .borrower = from,
                .requestId = request.request_id(),
                .end = now + m_context.timing.duration + m_context.timing.clockDriftMargin,
                .items = {} };
    for (const schema::LoanRequest::Item &wanted : request.items()) {
        Resource *resource = m_resources.find(ResourceName(wanted.resource()));
        if (resource == nullptr) {
            continue;
        }
        const std::uint32_t n = spareFor(*resource, from, wanted.wanted(), now);
        if (n < wanted.wanted()) {
            resource->claims[from.incarnation] = now + m_context.timing.duration / ClaimDivisor;
        } else {
            resource->claims.erase(from.incarnation);
        }
        if (n > 0) {
            resource->lent += n;
            loan.items.push_back({ .resource = resource, .count = n, .maxRunTime = resource->maxRunTime.at(now) });
        }
    }
    if (loan.items.empty()) {
        addGrant(LoanId(), loan, out);
        return;
    }
    const LoanId id(++m_lastLoanId);
    addGrant(id, loan, out);
    m_loans.emplace(id, std::move(loan));
}

void LentLoans::addGrant(LoanId id, const Loan &loan, std::vector<LedgerMessage> &out) const
{
    LedgerMessage answer = m_context.makeMessage(loan.borrower);
    schema::LoanGrant *grant = answer.message.mutable_loan_grant();
    grant->set_request_id(loan.requestId);
    grant->set_loan_id(id.value);
    grant->set_duration_ms(id.isNone() ? 0 : durationMs(m_context.timing.duration));
    for (const Item &item : loan.items) {
        schema::LoanGrant::Item *granted = grant->add_items();
        granted->set_resource(item.resource->name.value);
        granted->set_granted(item.count);
    }
    out.push_back(std::move(answer));
}

LentLoans::Loan *LentLoans::find(const PeerId &borrower, LoanId id)
{
    const auto it = m_loans.find(id);
    return it == m_loans.end() || it->second.borrower != borrower ? nullptr : &it->second;
}

void LentLoans::takeBack(Item &item, std::uint32_t kept)
{
    // Counts of a loan only fall, so messages that come twice or out of order do no harm.
    if (kept < item.count) {
        item.resource->lent -= item.count - kept;
        item.count = kept;
    }
}

bool LentLoans::prolong(const PeerId &borrower, LoanId id, Instant now)
{
    Loan *loan = find(borrower, id);
    // After the end some of the loan may have been taken back already, so it can't be prolonged as a whole.
    if (loan == nullptr || now >= loan->end || !m_context.isBaseShareUsable || m_context.isStopped) {
        return false;
    }
    loan->end = now + m_context.timing.duration + m_context.timing.clockDriftMargin;
    for (Item &item : loan->items) {
        item.maxRunTime = std::max(item.maxRunTime, item.resource->maxRunTime.at(now));
    }
    return true;
}

void LentLoans::renew(const PeerId &from, const schema::LoanRenew &renew, Instant now, std::vector<LedgerMessage> &out)
{
    for (const schema::LoanRenew::Kept &kept : renew.kept()) {
        Loan *loan = find(from, LoanId(kept.loan_id()));
        for (std::size_t i = 0; loan != nullptr && i < loan->items.size(); ++i) {
            if (loan->items[i].resource->name.value == kept.resource()) {
                takeBack(loan->items[i], kept.kept());
            }
        }
    }
    LedgerMessage answer = m_context.makeMessage(from);
    schema::LoanGrant *grant = answer.message.mutable_loan_grant();
    grant->set_request_id(renew.request_id());
    grant->set_duration_ms(durationMs(m_context.timing.duration));
    std::vector<std::uint64_t> ids(renew.more_loan_ids().begin(), renew.more_loan_ids().end());
    ids.push_back(renew.loan_id());
    for (const std::uint64_t id : ids) {
        if (!prolong(from, LoanId(id), now)) {
            grant->add_refused_loan_ids(id);
        }
    }
    addRequestedReductions(from, now, *grant);
    out.push_back(std::move(answer));
}

void LentLoans::addRequestedReductions(const PeerId &borrower, Instant now, schema::LoanGrant &grant)
{
    for (const auto &[name, resource] : m_resources.all()) {
        const std::uint32_t rivals = countRivals(resource, borrower, now);
        const std::uint32_t taken = resource.lent + resource.baseInUse;
        const std::uint32_t overBase = taken > resource.base ? taken - resource.base : 0; // After a lowered limit.
        const bool isScarce = rivals > 0 && resource.freeBase(m_context) == 0;
        if (resource.lent == 0 || (overBase == 0 && !isScarce)) {
            continue;
        }
        const std::uint32_t held = heldBy(resource, borrower);
        std::uint32_t wanted = held - std::min(held, overBase);
        if (isScarce) {
            wanted = std::min(wanted, resource.base / (rivals + 1));
        }
        if (wanted < held) {
            schema::LoanGrant::Item *reduced = grant.add_items();
            reduced->set_resource(name.value);
            reduced->set_granted(wanted);
        }
    }
}

void LentLoans::giveBack(const PeerId &from, LoanId id)
{
    Loan *loan = find(from, id);
    if (loan == nullptr) {
        return;
    }
    for (Item &item : loan->items) {
        takeBack(item, 0);
    }
    m_loans.erase(id);
}

void LentLoans::giveBack(const PeerId &from, const schema::LoanReturn &loanReturn)
{
    giveBack(from, LoanId(loanReturn.loan_id()));
    for (const std::uint64_t id : loanReturn.more_loan_ids()) {
        giveBack(from, LoanId(id));
    }
}

void LentLoans::reclaim(Instant now)
{
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        Loan &loan = it->second;
        for (Item &item : loan.items) {
            if (now >= loan.end + item.maxRunTime) {
                takeBack(item, 0);
            }
        }
        std::erase_if(loan.items, [](const Item &item) { return item.count == 0; });
        // A loan that was given back piece by piece is known until its end, so that a late copy of its request gets
        // no second loan.
        it = loan.items.empty() && now >= loan.end ? m_loans.erase(it) : std::next(it);
    }
    for (auto &[name, resource] : m_resources.all()) {
        std::erase_if(resource.claims, [now](const auto &claim) { return now >= claim.second; });
    }
}

void LentLoans::raiseMaxRunTime(const Resource &resource, Duration maxRunTime)
{
    for (auto &[id, loan] : m_loans) {
        for (Item &item : loan.items) {
            if (item.resource == &resource) {
                item.maxRunTime = std::max(item.maxRunTime, maxRunTime);
            }
        }
    }
}

} // namespace Eelgrasscleat
