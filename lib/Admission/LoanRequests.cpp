/// @file
/// Requests for loans.
#include "LoanRequests.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Steady bytes a second that requests may use.
static constexpr std::int64_t RequestBytesPerSecond = 500;
/// Bytes that may be saved up: all resources of a large deployment can be asked for at once.
static constexpr std::int64_t RequestBurstBytes = 32768;
/// Bytes that must have come together before more are spent, once they have run out.
static constexpr std::int64_t ResumeBytes = 2048;
/// Bytes of one item besides its resource's name, and of a message besides its items.
static constexpr std::size_t ItemBytes = 8;
static constexpr std::size_t MessageBytes = 48;

/// Requests to one peer are at least this part of a loan's duration apart, so that each asks for many resources.
static constexpr int PeerPauseDivisor = 10;

/// An answer is waited for, and a first refusal and the longest pause are, these parts of a loan's duration.
static constexpr int AnswerDivisor = 8;
static constexpr int FirstPauseDivisor = 10;
static constexpr int LongestPauseDivisor = 4;

void ByteBudget::refill(Instant now)
{
    if (!m_refilledAt) {
        m_bytes = RequestBurstBytes;
        m_refilledAt = now;
        return;
    }
    const Duration elapsed = std::min(now - *m_refilledAt, Duration(std::chrono::minutes(1)));
    const std::int64_t bytes = elapsed.count() * RequestBytesPerSecond / Duration(std::chrono::seconds(1)).count();
    if (bytes > 0) {
        m_bytes = std::min(m_bytes + bytes, RequestBurstBytes);
        m_refilledAt = now;
    }
}

bool ByteBudget::spend(std::size_t bytes)
{
    m_isSaving = m_isSaving && m_bytes < ResumeBytes;
    if (m_isSaving || m_bytes < static_cast<std::int64_t>(bytes)) {
        m_isSaving = true;
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
    , m_askNotBefore(layout.instances().size(), Instant::min())
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
    for (const AskBackoff &backoff : resource.backoffs) {
        covered += now < backoff.notBefore ? backoff.asked : 0;
    }
    const std::uint32_t wanted = std::min(resource.waiting, resource.limit);
    return wanted - std::min(wanted, covered);
}

static std::uint32_t heldFrom(const Resource &resource, const InstanceName &lender)
{
    std::uint32_t n = 0;
    for (const Holding *holding : resource.holdings) {
        n += holding->loan->lender.name == lender ? holding->kept : 0;
    }
    return n;
}

Duration LoanRequests::longerDelay(Duration delay) const
{
    const Duration first = m_context.timing.duration / FirstPauseDivisor;
    const Duration longest = m_context.timing.duration / LongestPauseDivisor;
    return std::clamp(delay * 2, first, longest);
}

bool LoanRequests::planResource(Resource &resource, Instant now)
{
    std::uint32_t missing = deficit(resource, now);
    const std::vector<ConfiguredInstance> &instances = m_layout.instances();
    // Each instance starts with its own neighbour, so that several in need don't all ask the same peer first; the
    // layout is sorted by zone, so most of the first ones asked are in the same zone.
    for (std::size_t i = 1; i <= instances.size() && missing > 0; ++i) {
        const std::size_t index = (m_ownIndex + i) % instances.size();
        AskBackoff &backoff = resource.backoffs[index];
        const std::uint32_t share = resource.shares[index];
        if (now < backoff.notBefore || now < m_askNotBefore[index] || share == 0
            || !m_context.peers.contains(instances[index].name)) {
            continue;
        }
        const std::uint32_t spare = share - std::min(share, heldFrom(resource, instances[index].name));
        // Half a share at least, so that a slowly growing need doesn't end in many small loans.
        const std::uint32_t wanted = std::min(spare, std::max(missing, (share + 1) / 2));
        if (wanted == 0) {
            continue;
        }
        const std::size_t bytes = resource.name.value.size() + ItemBytes + (m_plan[index].empty() ? MessageBytes : 0);
        if (!m_budget.spend(bytes)) {
            return false;
        }
        m_plan[index].push_back({ .resource = resource.name, .count = wanted });
        // Until an answer says otherwise this counts as refused, so a peer that never answers is asked seldom too.
        backoff.delay = longerDelay(backoff.delay);
        backoff.notBefore = now + std::max(backoff.delay, m_context.timing.duration / AnswerDivisor);
        backoff.asked = wanted;
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
    for (const Wanted &wanted : m_plan[index]) {
        schema::LoanRequest::Item *item = request->add_items();
        item->set_resource(wanted.resource.value);
        item->set_wanted(wanted.count);
    }
    m_pending[m_context.lastRequestId] = { .peer = peer, .sentAt = now, .wanted = std::move(m_plan[index]) };
    m_plan[index].clear();
    m_askNotBefore[index] = now + m_context.timing.duration / PeerPauseDivisor;
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
        if (!planResource(it->second, now)) {
            m_firstResource = it->first; // It comes first when there are bytes again.
            break;
        }
    }
    for (std::size_t index = 0; index < m_plan.size(); ++index) {
        if (!m_plan[index].empty()) {
            send(index, now, out);
        }
    }
}

void LoanRequests::settle(Resource &resource, std::size_t index, bool isMet, Instant now) const
{
    AskBackoff &backoff = resource.backoffs[index];
    backoff.asked = 0;
    if (isMet) {
        backoff.delay = Duration::zero();
    }
    backoff.notBefore = now + backoff.delay;
}

bool LoanRequests::granted(const PeerId &lender, const schema::LoanGrant &grant, Instant now)
{
    const auto it = m_pending.find(grant.request_id());
    if (it == m_pending.end() || it->second.peer != lender) {
        return false;
    }
    const PendingRequest request = std::move(it->second);
    m_pending.erase(it); // A second grant for the same request finds nothing to answer.
    const std::optional<std::size_t> index = instanceIndex(lender.name);
    std::vector<GrantedPermits> permits;
    for (const Wanted &wanted : request.wanted) {
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
            settle(*resource, *index, count == wanted.count, now);
        }
        if (count > 0) {
            permits.push_back({ .resource = resource, .count = count });
        }
    }
    const Duration duration = std::chrono::milliseconds(grant.duration_ms());
    if (now >= request.sentAt + duration) {
        return permits.empty(); // Dead on arrival: an answer that the ledger gives back.
    }
    if (!permits.empty()) {
        m_loans.add(lender, LoanId(grant.loan_id()), duration, permits, request.sentAt);
    }
    return true;
}

void LoanRequests::forgetBackoff(const InstanceName &peer)
{
    const std::optional<std::size_t> index = instanceIndex(peer);
    if (!index) {
        return;
    }
    for (auto &[name, resource] : m_resources.all()) {
        resource.backoffs[*index] = AskBackoff();
    }
    m_askNotBefore[*index] = Instant::min();
}

void LoanRequests::pauseAsking(const InstanceName &peer, const schema::LoanGrant &grant, Instant now)
{
    const std::optional<std::size_t> index = instanceIndex(peer);
    for (const schema::LoanGrant::Item &item : grant.items()) {
        Resource *resource = m_resources.find(ResourceName(item.resource()));
        if (!index || resource == nullptr) {
            continue;
        }
        AskBackoff &backoff = resource->backoffs[*index];
        backoff.delay = m_context.timing.duration / LongestPauseDivisor;
        backoff.notBefore = now + backoff.delay;
    }
}

} // namespace Eelgrasscleat
