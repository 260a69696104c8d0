/// @file
/// Grant, renewal and reclamation of lent loans.
#include "LentLoans.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// A lender with permits in use reserves its base share divided by this for its own tasks.
static constexpr std::uint32_t ReserveDivisor = 8;

/// A borrower whose request was not fully met counts as a competitor for the loan's duration divided by this, which
/// exceeds the maximum backoff between its requests.
static constexpr int UnmetRequestDivisor = 2;

static std::uint32_t durationMs(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

/// @returns how many instances other than @p borrower, including the lender, need permits of @p resource.
static std::uint32_t countCompetitors(const Resource &resource, const PeerId &borrower, Instant now)
{
    std::uint32_t n = resource.waiting > 0 ? 1 : 0;
    for (const auto &[incarnation, until] : resource.unmetRequests) {
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

std::uint32_t LentLoans::lentTo(const Resource &resource, const PeerId &borrower) const
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
LentLoans::grantableTo(const Resource &resource, const PeerId &borrower, std::uint32_t wanted, Instant now) const
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
    const std::uint32_t competitors = countCompetitors(resource, borrower, now);
    if (competitors > 0) {
        const std::uint32_t fair = std::max(1U, resource.base / (competitors + 1));
        const std::uint32_t held = lentTo(resource, borrower);
        spare = std::min(spare, fair - std::min(fair, held));
    }
    return std::min(spare, wanted);
}

void LentLoans::handleRequest(const PeerId &from,
                              const schema::LoanRequest &request,
                              Instant now,
                              std::vector<LedgerMessage> &out)
{
    for (const auto &[id, loan] : m_loans) {
        if (loan.borrower == from && loan.requestId == request.request_id()) {
            appendGrant(id, loan, out); // A duplicated request is answered again with the same loan.
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
        const std::uint32_t n = grantableTo(*resource, from, wanted.wanted(), now);
        if (n < wanted.wanted()) {
            resource->unmetRequests[from.incarnation] = now + m_context.timing.duration / UnmetRequestDivisor;
        } else {
            resource->unmetRequests.erase(from.incarnation);
        }
        if (n > 0) {
            resource->lent += n;
            loan.items.push_back({ .resource = resource, .count = n, .maxRunTime = resource->maxRunTime.at(now) });
        }
    }
    if (loan.items.empty()) {
        appendGrant(LoanId(), loan, out);
        return;
    }
    const LoanId id(++m_lastLoanId);
    appendGrant(id, loan, out);
    m_loans.emplace(id, std::move(loan));
}

void LentLoans::appendGrant(LoanId id, const Loan &loan, std::vector<LedgerMessage> &out) const
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

void LentLoans::reduceCount(Item &item, std::uint32_t kept)
{
    // The counts of a loan only decrease, so duplicated and reordered messages are harmless.
    if (kept < item.count) {
        item.resource->lent -= item.count - kept;
        item.count = kept;
    }
}

bool LentLoans::extend(const PeerId &borrower, LoanId id, Instant now)
{
    Loan *loan = find(borrower, id);
    // After its expiry, part of the loan may already have been reclaimed, so it can no longer be extended.
    if (loan == nullptr || now >= loan->end || !m_context.isBaseShareUsable || m_context.isStopped) {
        return false;
    }
    loan->end = now + m_context.timing.duration + m_context.timing.clockDriftMargin;
    for (Item &item : loan->items) {
        item.maxRunTime = std::max(item.maxRunTime, item.resource->maxRunTime.at(now));
    }
    return true;
}

void LentLoans::handleRenewal(const PeerId &from,
                              const schema::LoanRenew &renew,
                              Instant now,
                              std::vector<LedgerMessage> &out)
{
    for (const schema::LoanRenew::Kept &kept : renew.kept()) {
        Loan *loan = find(from, LoanId(kept.loan_id()));
        for (std::size_t i = 0; loan != nullptr && i < loan->items.size(); ++i) {
            if (loan->items[i].resource->name.value == kept.resource()) {
                reduceCount(loan->items[i], kept.kept());
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
        if (!extend(from, LoanId(id), now)) {
            grant->add_refused_loan_ids(id);
        }
    }
    addRequestedReductions(from, now, *grant);
    out.push_back(std::move(answer));
}

void LentLoans::addRequestedReductions(const PeerId &borrower, Instant now, schema::LoanGrant &grant)
{
    for (const auto &[name, resource] : m_resources.all()) {
        const std::uint32_t competitors = countCompetitors(resource, borrower, now);
        const std::uint32_t taken = resource.lent + resource.baseInUse;
        // Positive after the limit was lowered.
        const std::uint32_t overBase = taken > resource.base ? taken - resource.base : 0;
        const bool isScarce = competitors > 0 && resource.freeBase(m_context) == 0;
        if (resource.lent == 0 || (overBase == 0 && !isScarce)) {
            continue;
        }
        const std::uint32_t held = lentTo(resource, borrower);
        std::uint32_t wanted = held - std::min(held, overBase);
        if (isScarce) {
            wanted = std::min(wanted, resource.base / (competitors + 1));
        }
        if (wanted < held) {
            schema::LoanGrant::Item *reduced = grant.add_items();
            reduced->set_resource(name.value);
            reduced->set_granted(wanted);
        }
    }
}

void LentLoans::returnLoan(const PeerId &from, LoanId id)
{
    Loan *loan = find(from, id);
    if (loan == nullptr) {
        return;
    }
    for (Item &item : loan->items) {
        reduceCount(item, 0);
    }
    m_loans.erase(id);
}

void LentLoans::handleReturn(const PeerId &from, const schema::LoanReturn &loanReturn)
{
    returnLoan(from, LoanId(loanReturn.loan_id()));
    for (const std::uint64_t id : loanReturn.more_loan_ids()) {
        returnLoan(from, LoanId(id));
    }
}

void LentLoans::reclaimExpired(Instant now)
{
    for (auto it = m_loans.begin(); it != m_loans.end();) {
        Loan &loan = it->second;
        for (Item &item : loan.items) {
            if (now >= loan.end + item.maxRunTime) {
                reduceCount(item, 0);
            }
        }
        std::erase_if(loan.items, [](const Item &item) { return item.count == 0; });
        // A loan that was returned in parts is kept until its expiry, so that a delayed duplicate of its request does
        // not create a second loan.
        it = loan.items.empty() && now >= loan.end ? m_loans.erase(it) : std::next(it);
    }
    for (auto &[name, resource] : m_resources.all()) {
        std::erase_if(resource.unmetRequests, [now](const auto &request) { return now >= request.second; });
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
