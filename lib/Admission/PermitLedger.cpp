/// @file
/// Joins the parts of the ledger: resources, loans lent, loans borrowed and requests.
#include "LentLoans.h"
#include "LoanRequests.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

/// Demand is remembered for one to two windows of this part of a loan's duration.
static constexpr int DemandWindowDivisor = 12;
/// Idle permits are given up when they exceed this part of the demand, so that small swings cause no messages.
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

    Resource &known(const ResourceName &name) const
    {
        Resource *resource = resources.find(name);
        assert(resource != nullptr && "a permit keeps its resource known");
        return *resource;
    }

    void setShares(Resource &resource) const
    {
        for (std::size_t i = 0; i < layout.instances().size(); ++i) {
            resource.shares[i] = layout.baseShare(resource.name, resource.limit, layout.instances()[i].name);
        }
        resource.base = layout.baseShare(resource.name, resource.limit, context.self.name);
    }

    void giveUpSurplus(Resource &resource, Instant now) const
    {
        if (resource.holdings.empty()) {
            return;
        }
        const std::uint32_t peak = resource.demand.peak();
        const std::uint32_t held = resource.inUse + resource.freeBase(context) + resource.freeBorrowed(context, now);
        const std::uint32_t slack = peak / SlackDivisor;
        if (held > peak + slack) {
            BorrowedLoans::giveUpIdle(resource, held - peak, context, now);
        }
    }

    void releaseEnded(PermitLedger &ledger, Instant now)
    {
        while (!ending.empty() && ending.begin()->first <= now) {
            ledger.release(ending.begin()->second, now);
            ending.erase(ending.begin());
        }
    }

    /// Answers a grant that can't be used, so that the lender needn't wait for the loan's end.
    void refuseGrant(const PeerId &from, const schema::LoanGrant &grant, std::vector<LedgerMessage> &out) const
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
    std::multimap<Instant, Permit> ending; ///< Permits whose work may still be running, by its latest end.
};

PermitLedger::PermitLedger(PeerId self, ShareLayout layout, LoanTiming timing)
    : m_state(std::make_unique<State>(std::move(self), std::move(layout), timing))
{
}

PermitLedger::~PermitLedger() = default;

void PermitLedger::setLimit(const ResourceName &resource, std::uint32_t limit, Duration maxRunTime, Instant now)
{
    Resource &known = m_state->resources.findOrAdd(resource, m_state->layout.instances().size());
    known.limit = limit;
    known.isRemoved = false;
    known.maxRunTime.set(maxRunTime, now);
    m_state->setShares(known);
    m_state->lentLoans.raiseMaxRunTime(known, maxRunTime);
}

void PermitLedger::removeLimit(const ResourceName &resource)
{
    Resource *known = m_state->resources.find(resource);
    if (known == nullptr) {
        return;
    }
    known->limit = 0;
    known->waiting = 0;
    known->isRemoved = true;
    m_state->setShares(*known);
}

void PermitLedger::setBaseShareUsable(bool usable, Instant now)
{
    static_cast<void>(now); // What is out stays out until it ends, whether or not more may be handed out.
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
            m_state->requests.forgetBackoff(peer.name);
        }
    }
    m_state->context.peers = std::move(present);
}

std::optional<Permit> PermitLedger::tryAcquire(const ResourceName &resource, Instant now)
{
    Resource *known = m_state->resources.find(resource);
    if (known == nullptr || known->isRemoved) {
        return std::nullopt;
    }
    const LoanTiming &timing = m_state->context.timing;
    if (known->freeBase(m_state->context) > 0) {
        ++known->baseInUse;
        ++known->inUse;
        known->noteDemand();
        // A successor of this incarnation waits for a loan's duration before it uses the base share, so a start that
        // was held up for longer must not be written.
        return Permit { .resource = resource,
                        .loan = LoanId(),
                        .lender = IncarnationId(),
                        .startBefore = now + timing.duration - timing.startMargin };
    }
    for (Holding *holding : known->holdings) {
        if (holding->free(m_state->context, now) == 0) {
            continue;
        }
        ++holding->inUse;
        ++known->inUse;
        known->noteDemand();
        return Permit { .resource = resource,
                        .loan = holding->loan->id,
                        .lender = holding->loan->lender.incarnation,
                        .startBefore = holding->loan->end - timing.startMargin };
    }
    return std::nullopt;
}

void PermitLedger::release(const Permit &permit, Instant now)
{
    static_cast<void>(now);
    Resource &resource = m_state->known(permit.resource);
    assert(resource.inUse > 0 && "a permit is given back once");
    --resource.inUse;
    if (permit.loan.isNone()) {
        --resource.baseInUse;
        return;
    }
    Holding *holding = m_state->borrowedLoans.find(permit);
    assert(holding != nullptr && "a loan is kept while its permits are in use");
    --holding->inUse;
}

void PermitLedger::releaseAfterMaxRunTime(const Permit &permit, Instant startedAt, Instant now)
{
    const Instant end = startedAt + m_state->known(permit.resource).maxRunTime.at(now);
    if (end <= now) {
        release(permit, now);
        return;
    }
    m_state->ending.emplace(end, permit);
}

void PermitLedger::setWaiting(const ResourceName &resource, std::uint32_t waiting)
{
    Resource *known = m_state->resources.find(resource);
    if (known == nullptr || known->isRemoved) {
        return;
    }
    known->waiting = waiting;
    known->noteDemand();
}

void PermitLedger::receive(const PeerId &from,
                           const schema::PeerMessage &message,
                           Instant now,
                           std::vector<LedgerMessage> &out)
{
    if (message.to_incarnation() != m_state->context.self.incarnation.value) {
        return; // Meant for another life of this instance name.
    }
    switch (message.kind_case()) {
    case schema::PeerMessage::kLoanRequest:
        m_state->lentLoans.request(from, message.loan_request(), now, out);
        break;
    case schema::PeerMessage::kLoanRenew:
        m_state->lentLoans.renew(from, message.loan_renew(), now, out);
        break;
    case schema::PeerMessage::kLoanReturn:
        m_state->lentLoans.giveBack(from, message.loan_return());
        break;
    case schema::PeerMessage::kLoanGrant: {
        const schema::LoanGrant &grant = message.loan_grant();
        if (m_state->borrowedLoans.renewalAnswered(from, grant)) {
            m_state->requests.pauseAsking(from.name, grant, now);
        } else if (!m_state->requests.granted(from, grant, now)) {
            m_state->refuseGrant(from, grant, out);
        }
        break;
    }
    default:
        assert(false && "a message of another part of the daemon");
    }
}

void PermitLedger::tick(Instant now, std::vector<LedgerMessage> &out)
{
    m_state->releaseEnded(*this, now);
    m_state->lentLoans.reclaim(now);
    for (auto &[name, resource] : m_state->resources.all()) {
        resource.demand.advance(m_state->context.timing.duration / DemandWindowDivisor, now);
        resource.noteDemand();
        m_state->giveUpSurplus(resource, now);
    }
    m_state->borrowedLoans.tick(now, out);
    if (!m_state->context.isStopped) {
        m_state->requests.tick(now, out);
    }
    m_state->resources.dropRemoved();
}

void PermitLedger::stop(Instant now, std::vector<LedgerMessage> &out)
{
    m_state->context.isStopped = true;
    m_state->borrowedLoans.tick(now, out);
}

std::uint32_t PermitLedger::inUse(const ResourceName &resource) const
{
    const Resource *known = m_state->resources.find(resource);
    return known == nullptr ? 0 : known->inUse;
}

std::uint32_t PermitLedger::free(const ResourceName &resource, Instant now) const
{
    const Resource *known = m_state->resources.find(resource);
    if (known == nullptr || known->isRemoved) {
        return 0;
    }
    return known->freeBase(m_state->context) + known->freeBorrowed(m_state->context, now);
}

std::uint32_t PermitLedger::lent(const ResourceName &resource) const
{
    const Resource *known = m_state->resources.find(resource);
    return known == nullptr ? 0 : known->lent;
}

std::uint32_t PermitLedger::borrowed(const ResourceName &resource, Instant now) const
{
    const Resource *known = m_state->resources.find(resource);
    std::uint32_t n = 0;
    for (std::size_t i = 0; known != nullptr && i < known->holdings.size(); ++i) {
        n += now < known->holdings[i]->loan->end ? known->holdings[i]->kept : 0;
    }
    return n;
}

} // namespace Eelgrasscleat
