/// @file
/// Combines the components of the ledger: resources, lent loans, borrowed loans and loan requests.
#include "LentLoans.h"
#include "LoanRequests.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

/// The window of the demand maximum is a loan's duration divided by this.
static constexpr int DemandWindowDivisor = 12;
/// Idle permits are returned when they exceed the peak demand divided by this, so that small fluctuations cause no
/// messages.
static constexpr std::uint32_t SlackDivisor = 2;

struct PermitLedger::State
{
    State(PeerId self, ShareLayout shareLayout, LoanTiming timing)
        : layout(std::move(shareLayout))
        , context { .self = std::move(self), .timing = timing, .peers = {} }
        , lentLoans(context, resources)
        , borrowedLoans(context)
        , requests(context, resources, borrowedLoans, layout)
    {
    }

    Resource &resourceOf(const ResourceName &name) const
    {
        Resource *resource = resources.find(name);
        assert(resource != nullptr && "a resource is not erased while it has permits in use");
        return *resource;
    }

    void setShares(Resource &resource) const
    {
        for (std::size_t i = 0; i < layout.instances().size(); ++i) {
            resource.shares[i] = layout.baseShare(resource.name, resource.limit, layout.instances()[i].name);
        }
        resource.base = layout.baseShare(resource.name, resource.limit, context.self.name);
    }

    void markSurplusForReturn(Resource &resource, Instant now) const
    {
        if (resource.loanItems.empty()) {
            return;
        }
        const std::uint32_t peak = resource.demand.peak();
        const std::uint32_t held = resource.inUse + resource.freeBase(context) + resource.freeBorrowed(context, now);
        const std::uint32_t slack = peak / SlackDivisor;
        if (held > peak + slack) {
            BorrowedLoans::markIdleForReturn(resource, held - peak, context, now);
        }
    }

    void releaseExpired(PermitLedger &ledger, Instant now)
    {
        while (!pendingReleases.empty() && pendingReleases.begin()->first <= now) {
            ledger.release(pendingReleases.begin()->second, now);
            pendingReleases.erase(pendingReleases.begin());
        }
    }

    /// Returns a grant that cannot be used, so that the lender need not wait for its expiry.
    void returnGrant(const PeerId &from, const schema::LoanGrant &grant, std::vector<LedgerMessage> &out) const
    {
        const LoanKey key { .lender = from.incarnation, .id = LoanId(grant.loan_id()) };
        if (grant.loan_id() == 0 || grant.duration_ms() == 0 || borrowedLoans.contains(key)) {
            return;
        }
        LedgerMessage message = context.makeMessage(from);
        message.message.mutable_loan_return()->set_loan_id(grant.loan_id());
        out.push_back(std::move(message));
    }

    ShareLayout layout;
    LedgerContext context;
    ResourceTable resources;
    LentLoans lentLoans;
    BorrowedLoans borrowedLoans;
    LoanRequests requests;
    /// Permits whose work may still be running, by the latest time at which it ends.
    std::multimap<Instant, Permit> pendingReleases;
};

PermitLedger::PermitLedger(PeerId self, ShareLayout layout, LoanTiming timing)
    : m_state(std::make_unique<State>(std::move(self), std::move(layout), timing))
{
}

PermitLedger::~PermitLedger() = default;

void PermitLedger::setLimit(const ResourceName &resource, std::uint32_t limit, Duration maxRunTime, Instant now)
{
    Resource &entry = m_state->resources.findOrAdd(resource, m_state->layout.instances().size());
    entry.limit = limit;
    entry.isRemoved = false;
    entry.maxRunTime.set(maxRunTime, now);
    m_state->setShares(entry);
    m_state->lentLoans.raiseMaxRunTime(entry, maxRunTime);
}

void PermitLedger::removeLimit(const ResourceName &resource)
{
    Resource *entry = m_state->resources.find(resource);
    if (entry == nullptr) {
        return;
    }
    entry->limit = 0;
    entry->waiting = 0;
    entry->isRemoved = true;
    m_state->setShares(*entry);
}

void PermitLedger::setBaseShareUsable(bool usable, Instant now)
{
    static_cast<void>(now); // Acquired and lent permits stay valid until they are released or expire.
    m_state->context.isBaseShareUsable = usable;
}

void PermitLedger::setPeers(const std::vector<PeerId> &peers)
{
    std::map<InstanceName, IncarnationId> present;
    for (const PeerId &peer : peers) {
        if (peer.name == m_state->context.self.name) {
            continue;
        }
        present[peer.name] = peer.incarnation;
        if (!m_state->context.isPeer(peer)) {
            m_state->requests.resetBackoff(peer.name);
        }
    }
    m_state->context.peers = std::move(present);
}

std::optional<Permit> PermitLedger::tryAcquire(const ResourceName &resource, Instant now)
{
    Resource *entry = m_state->resources.find(resource);
    if (entry == nullptr || entry->isRemoved) {
        return std::nullopt;
    }
    const LoanTiming &timing = m_state->context.timing;
    if (entry->freeBase(m_state->context) > 0) {
        ++entry->baseInUse;
        ++entry->inUse;
        entry->recordDemand();
        // A successor of this incarnation waits for a loan's duration before it uses the base share. A start delayed
        // for longer must not be sent, since the limit could be exceeded.
        return Permit { .resource = resource,
                        .loan = LoanId(),
                        .lender = IncarnationId(),
                        .startBefore = now + timing.duration - timing.startMargin };
    }
    for (LoanItem *item : entry->loanItems) {
        if (item->free(m_state->context, now) == 0) {
            continue;
        }
        ++item->inUse;
        ++entry->inUse;
        entry->recordDemand();
        return Permit { .resource = resource,
                        .loan = item->loan->id,
                        .lender = item->loan->lender.incarnation,
                        .startBefore = item->loan->end - timing.startMargin };
    }
    return std::nullopt;
}

void PermitLedger::release(const Permit &permit, Instant now)
{
    static_cast<void>(now);
    Resource &resource = m_state->resourceOf(permit.resource);
    assert(resource.inUse > 0 && "a permit is released only once");
    --resource.inUse;
    if (permit.loan.isNone()) {
        --resource.baseInUse;
        return;
    }
    LoanItem *item = m_state->borrowedLoans.find(permit);
    assert(item != nullptr && "a loan is not erased while its permits are in use");
    --item->inUse;
}

void PermitLedger::releaseAfterMaxRunTime(const Permit &permit, Instant startedAt, Instant now)
{
    const Instant end = startedAt + m_state->resourceOf(permit.resource).maxRunTime.at(now);
    if (end <= now) {
        release(permit, now);
        return;
    }
    m_state->pendingReleases.emplace(end, permit);
}

void PermitLedger::setWaiting(const ResourceName &resource, std::uint32_t waiting)
{
    Resource *entry = m_state->resources.find(resource);
    if (entry == nullptr || entry->isRemoved) {
        return;
    }
    entry->waiting = waiting;
    entry->recordDemand();
}

void PermitLedger::receive(const PeerId &from,
                           const schema::PeerMessage &message,
                           Instant now,
                           std::vector<LedgerMessage> &out)
{
    if (message.to_incarnation() != m_state->context.self.incarnation.value) {
        return; // Addressed to another incarnation of this instance.
    }
    switch (message.kind_case()) {
    case schema::PeerMessage::kLoanRequest:
        m_state->lentLoans.handleRequest(from, message.loan_request(), now, out);
        break;
    case schema::PeerMessage::kLoanRenew:
        m_state->lentLoans.handleRenewal(from, message.loan_renew(), now, out);
        break;
    case schema::PeerMessage::kLoanReturn:
        m_state->lentLoans.handleReturn(from, message.loan_return());
        break;
    case schema::PeerMessage::kLoanGrant: {
        const schema::LoanGrant &grant = message.loan_grant();
        if (m_state->borrowedLoans.handleRenewalAnswer(from, grant)) {
            m_state->requests.delayRequests(from.name, grant, now);
        } else if (!m_state->requests.handleGrant(from, grant, now)) {
            m_state->returnGrant(from, grant, out);
        }
        break;
    }
    default:
        assert(false && "unexpected message kind");
    }
}

void PermitLedger::tick(Instant now, std::vector<LedgerMessage> &out)
{
    m_state->releaseExpired(*this, now);
    m_state->lentLoans.reclaimExpired(now);
    for (auto &[name, resource] : m_state->resources.all()) {
        resource.demand.advance(m_state->context.timing.duration / DemandWindowDivisor, now);
        resource.recordDemand();
        m_state->markSurplusForReturn(resource, now);
    }
    m_state->borrowedLoans.tick(now, out);
    if (!m_state->context.isStopped) {
        m_state->requests.tick(now, out);
    }
    m_state->resources.eraseRemoved();
}

void PermitLedger::stop(Instant now, std::vector<LedgerMessage> &out)
{
    m_state->context.isStopped = true;
    m_state->borrowedLoans.tick(now, out);
}

std::uint32_t PermitLedger::inUse(const ResourceName &resource) const
{
    const Resource *entry = m_state->resources.find(resource);
    return entry == nullptr ? 0 : entry->inUse;
}

std::uint32_t PermitLedger::free(const ResourceName &resource, Instant now) const
{
    const Resource *entry = m_state->resources.find(resource);
    if (entry == nullptr || entry->isRemoved) {
        return 0;
    }
    return entry->freeBase(m_state->context) + entry->freeBorrowed(m_state->context, now);
}

std::uint32_t PermitLedger::lent(const ResourceName &resource) const
{
    const Resource *entry = m_state->resources.find(resource);
    return entry == nullptr ? 0 : entry->lent;
}

std::uint32_t PermitLedger::borrowed(const ResourceName &resource, Instant now) const
{
    const Resource *entry = m_state->resources.find(resource);
    std::uint32_t n = 0;
    for (std::size_t i = 0; entry != nullptr && i < entry->loanItems.size(); ++i) {
        n += now < entry->loanItems[i]->loan->end ? entry->loanItems[i]->kept : 0;
    }
    return n;
}

} // namespace Eelgrasscleat
