/// @file
/// Planning and sending of loan requests.
#include "LoanRequests.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Refill rate of the byte budget.
static constexpr std::int64_t RequestBytesPerSecond = 500;
/// Capacity of the byte budget; suffices to request all resources of a large deployment at once.
static constexpr std::int64_t RequestBurstBytes = 32768;
/// Level from which an exhausted budget can be used again.
static constexpr std::int64_t ResumeBytes = 2048;
/// Approximate encoded size of an item without its resource name, and of a message without its items.
static constexpr std::size_t ItemOverheadBytes = 8;
static constexpr std::size_t MessageOverheadBytes = 48;

/// The minimum interval between requests to one peer is the loan's duration divided by this, so that each request
/// batches many resources.
static constexpr int PeerIntervalDivisor = 10;

/// Divisors of the loan's duration for the answer timeout, the initial backoff and the maximum backoff.
static constexpr int AnswerTimeoutDivisor = 8;
static constexpr int InitialBackoffDivisor = 10;
static constexpr int MaxBackoffDivisor = 4;

void ByteBudget::refill(Instant now)
{
    if (!m_lastRefill) {
        m_bytes = RequestBurstBytes;
        m_lastRefill = now;
        return;
    }
    const Duration elapsed = std::min(now - *m_lastRefill, Duration(std::chrono::minutes(1)));
    const std::int64_t bytes = elapsed.count() * RequestBytesPerSecond / Duration(std::chrono::seconds(1)).count();
    if (bytes > 0) {
        m_bytes = std::min(m_bytes + bytes, RequestBurstBytes);
        m_lastRefill = now;
    }
}

bool ByteBudget::tryConsume(std::size_t bytes)
{
    m_isExhausted = m_isExhausted && m_bytes < ResumeBytes;
    if (m_isExhausted || m_bytes < static_cast<std::int64_t>(bytes)) {
        m_isExhausted = true;
        return false;
    }
    m_bytes -= static_cast<std::int64_t>(bytes);
    return true;
}

LoanRequests::LoanRequests(LedgerContext &context,
                           ResourceTable &resources,
                           BorrowedLoans &loans,
                           const ShareLayout &layout)
    : m_context(context)
    , m_resources(resources)
    , m_loans(loans)
    , m_layout(layout)
    , m_ownIndex(instanceIndex(context.self.name).value_or(0))
    , m_plan(layout.instances().size())
    , m_requestNotBefore(layout.instances().size(), Instant::min())
{
}

std::optional<std::size_t> LoanRequests::instanceIndex(const InstanceName &name) const
{
    const std::vector<ConfiguredInstance> &instances = m_layout.instances();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (instances[i].name == name) {
            return i;
        }
    }
    return std::nullopt;
}

std::uint32_t LoanRequests::deficit(const Resource &resource, Instant now) const
{
    std::uint32_t covered = resource.freeBase(m_context) + resource.freeBorrowed(m_context, now);
    for (const RequestBackoff &backoff : resource.backoffs) {
        covered += now < backoff.notBefore ? backoff.requested : 0;
    }
    const std::uint32_t wanted = std::min(resource.waiting, resource.limit);
    return wanted - std::min(wanted, covered);
}

static std::uint32_t borrowedFrom(const Resource &resource, const InstanceName &lender)
{
    std::uint32_t n = 0;
    for (const LoanItem *item : resource.loanItems) {
        n += item->loan->lender.name == lender ? item->kept : 0;
    }
    return n;
}

Duration LoanRequests::nextDelay(Duration delay) const
{
    const Duration first = m_context.timing.duration / InitialBackoffDivisor;
    const Duration longest = m_context.timing.duration / MaxBackoffDivisor;
    return std::clamp(delay * 2, first, longest);
}

bool LoanRequests::planRequests(Resource &resource, Instant now)
{
    std::uint32_t missing = deficit(resource, now);
    const std::vector<ConfiguredInstance> &instances = m_layout.instances();
    // Each instance starts with its successor in the layout, so that several borrowers do not all ask the same peer
    // first. The layout is sorted by zone, so the first peers are mostly in the same zone.
    for (std::size_t i = 1; i <= instances.size() && missing > 0; ++i) {
        const std::size_t index = (m_ownIndex + i) % instances.size();
        RequestBackoff &backoff = resource.backoffs[index];
        const std::uint32_t share = resource.shares[index];
        if (now < backoff.notBefore || now < m_requestNotBefore[index] || share == 0
            || !m_context.peers.contains(instances[index].name)) {
            continue;
        }
        const std::uint32_t spare = share - std::min(share, borrowedFrom(resource, instances[index].name));
        // Requests at least half a share, so that slowly growing demand does not lead to many small loans.
        const std::uint32_t wanted = std::min(spare, std::max(missing, (share + 1) / 2));
        if (wanted == 0) {
            continue;
        }
        const std::size_t bytes =
            resource.name.value.size() + ItemOverheadBytes + (m_plan[index].empty() ? MessageOverheadBytes : 0);
        if (!m_budget.tryConsume(bytes)) {
            return false;
        }
        m_plan[index].push_back({ .resource = resource.name, .count = wanted });
        // Counts as refused until answered, so that a peer that never answers is subject to the backoff, too.
        backoff.delay = nextDelay(backoff.delay);
        backoff.notBefore = now + std::max(backoff.delay, m_context.timing.duration / AnswerTimeoutDivisor);
        backoff.requested = wanted;
        missing -= std::min(missing, wanted);
    }
    return true;
}

void LoanRequests::send(std::size_t index, Instant now, std::vector<LedgerMessage> &out)
{
    const InstanceName &name = m_layout.instances()[index].name;
    const PeerId peer { .name = name, .incarnation = m_context.peers.at(name) };
    LedgerMessage message = m_context.makeMessage(peer);
    schema::LoanRequest *request = message.message.mutable_loan_request();
    request->set_request_id(++m_context.lastRequestId);
    for (const RequestedPermits &wanted : m_plan[index]) {
        schema::LoanRequest::Item *item = request->add_items();
        item->set_resource(wanted.resource.value);
        item->set_wanted(wanted.count);
    }
    m_pending[m_context.lastRequestId] = { .peer = peer, .sentAt = now, .wanted = std::move(m_plan[index]) };
    m_plan[index].clear();
    m_requestNotBefore[index] = now + m_context.timing.duration / PeerIntervalDivisor;
    out.push_back(std::move(message));
}

void LoanRequests::tick(Instant now, std::vector<LedgerMessage> &out)
{
    std::erase_if(m_pending,
                  [&](const auto &request) { return now >= request.second.sentAt + m_context.timing.duration; });
    m_budget.refill(now);
    std::map<ResourceName, Resource> &resources = m_resources.all();
    auto it = resources.lower_bound(m_firstResource);
    for (std::size_t i = 0; i < resources.size(); ++i, ++it) {
        if (it == resources.end()) {
            it = resources.begin();
        }
        if (!planRequests(it->second, now)) {
            m_firstResource = it->first; // Continue here when the budget has been refilled.
            break;
        }
    }
    for (std::size_t index = 0; index < m_plan.size(); ++index) {
        if (!m_plan[index].empty()) {
            send(index, now, out);
        }
    }
}

void LoanRequests::recordAnswer(Resource &resource, std::size_t index, bool isFullyGranted, Instant now) const
{
    RequestBackoff &backoff = resource.backoffs[index];
    backoff.requested = 0;
    if (isFullyGranted) {
        backoff.delay = Duration::zero();
    }
    backoff.notBefore = now + backoff.delay;
}

bool LoanRequests::handleGrant(const PeerId &lender, const schema::LoanGrant &grant, Instant now)
{
    const auto it = m_pending.find(grant.request_id());
    if (it == m_pending.end() || it->second.peer != lender) {
        return false;
    }
    const PendingRequest request = std::move(it->second);
    m_pending.erase(it); // A duplicated grant is then no longer accepted.
    const std::optional<std::size_t> index = instanceIndex(lender.name);
    std::vector<GrantedPermits> permits;
    for (const RequestedPermits &wanted : request.wanted) {
        Resource *resource = m_resources.find(wanted.resource);
        if (resource == nullptr) {
            continue;
        }
        std::uint32_t count = 0;
        for (const schema::LoanGrant::Item &item : grant.items()) {
            if (item.resource() == wanted.resource.value) {
                count = std::min(item.granted(), wanted.count);
            }
        }
        if (index) {
            recordAnswer(*resource, *index, count == wanted.count, now);
        }
        if (count > 0) {
            permits.push_back({ .resource = resource, .count = count });
        }
    }
    const Duration duration = std::chrono::milliseconds(grant.duration_ms());
    if (now >= request.sentAt + duration) {
        return permits.empty(); // The loan has already expired; if it has permits, the ledger returns it.
    }
    if (!permits.empty()) {
        m_loans.add(lender, LoanId(grant.loan_id()), duration, permits, request.sentAt);
    }
    return true;
}

void LoanRequests::resetBackoff(const InstanceName &peer)
{
    const std::optional<std::size_t> index = instanceIndex(peer);
    if (!index) {
        return;
    }
    for (auto &[name, resource] : m_resources.all()) {
        resource.backoffs[*index] = RequestBackoff();
    }
    m_requestNotBefore[*index] = Instant::min();
}

void LoanRequests::delayRequests(const InstanceName &peer, const schema::LoanGrant &grant, Instant now)
{
    const std::optional<std::size_t> index = instanceIndex(peer);
    for (const schema::LoanGrant::Item &item : grant.items()) {
        Resource *resource = m_resources.find(ResourceName(item.resource()));
        if (!index || resource == nullptr) {
            continue;
        }
        RequestBackoff &backoff = resource->backoffs[*index];
        backoff.delay = m_context.timing.duration / MaxBackoffDivisor;
        backoff.notBefore = now + backoff.delay;
    }
}

} // namespace Eelgrasscleat
