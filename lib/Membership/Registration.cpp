/// @file
/// Reads and writes of the "incarnations" stream.
#include <eelgrasscleat/Membership/Registration.h>

#include <algorithm>

namespace Eelgrasscleat
{

Registration::Registration(ZoneName zone, const RegistrationTimes &times, NameHolder &holder, PeerTracker &peers)
    : m_zone(std::move(zone))
    , m_times(times)
    , m_holder(holder)
    , m_peers(peers)
{
}

std::vector<RegistrationAction> Registration::tick(Instant now, RandomSource &random)
{
    std::vector<RegistrationAction> actions;
    if (!m_isReading && now >= m_readAfter) {
        m_isReading = true;
        m_readSentAt = now;
        actions.emplace_back(ReadIncarnations { .from = m_nextOffset });
    }
    const std::optional<schema::IncarnationEvent> event = dueEvent(now);
    if (!event || !m_hasReachedEnd || now < m_appendAfter) {
        return actions;
    }
    const auto drawn = drawBelow(random, static_cast<std::uint64_t>(m_times.appendRetryDelay.count()) / 2 + 1);
    m_appendAfter = now + m_times.appendRetryDelay + Duration(static_cast<Duration::rep>(drawn));
    AppendIncarnation append;
    append.record.set_instance(m_holder.self().name.value);
    append.record.set_zone(m_zone.value);
    append.record.set_incarnation(m_holder.self().incarnation.value);
    append.record.set_event(*event);
    actions.emplace_back(std::move(append));
    return actions;
}

std::optional<schema::IncarnationEvent> Registration::dueEvent(Instant now) const
{
    if (!m_joinedRead) {
        return m_isLeaving ? std::nullopt : std::optional(schema::INCARNATION_EVENT_JOINED);
    }
    const bool isLeftDue = m_isLeaving && !m_leftRead && m_holder.havePredecessorsEnded(now);
    return isLeftDue ? std::optional(schema::INCARNATION_EVENT_LEFT) : std::nullopt;
}

void Registration::handlePage(const schema::RecordPage &page, Instant now)
{
    m_isReading = false;
    m_retryDelay = Duration::zero();
    if (m_nextOffset == 0 && page.first_kept() == 0) {
        m_holder.setStreamStartRead();
    }
    if (page.first_kept() > m_nextOffset) {
        m_holder.handleMissedRecords();
    }
    for (const schema::RecordPage::Record &raw : page.records()) {
        if (raw.offset() >= m_nextOffset) {
            applyRecord(raw, now);
            m_nextOffset = raw.offset() + 1;
        }
    }
    // A lagging read does not show the end that was seen before.
    const bool atEnd = page.next() == std::max(m_nextOffset, page.first_kept());
    if (atEnd) {
        m_nextOffset = page.next();
        m_hasReachedEnd = true;
        m_holder.confirmByLog(m_readSentAt, now);
    }
    m_readAfter = atEnd || page.records().empty() ? now + m_times.pollInterval : now;
}

void Registration::applyRecord(const schema::RecordPage::Record &raw, Instant now)
{
    schema::IncarnationRecord record;
    if (!record.ParseFromString(raw.data())) {
        ++m_malformedRecords;
        return;
    }
    m_holder.applyIncarnationRecord(record, now);
    m_peers.applyIncarnationRecord(record, now);
    if (record.incarnation() != m_holder.self().incarnation.value) {
        return;
    }
    m_joinedRead = m_joinedRead || record.event() == schema::INCARNATION_EVENT_JOINED;
    m_leftRead = m_leftRead || record.event() == schema::INCARNATION_EVENT_LEFT;
    m_appendAfter = now;
}

void Registration::handleReadFailure(Instant now, RandomSource &random)
{
    m_isReading = false;
    m_retryDelay = std::clamp(m_retryDelay * 2, m_times.pollInterval, m_times.maxRetryDelay);
    // Half of the wait is drawn, so that the instances do not all return at the same moment after an outage.
    const Duration half = m_retryDelay / 2;
    const auto drawn = drawBelow(random, static_cast<std::uint64_t>(half.count()) + 1);
    m_readAfter = now + half + Duration(static_cast<Duration::rep>(drawn));
}

void Registration::leave()
{
    m_isLeaving = true;
}

bool Registration::hasLeft(Instant now) const
{
    return m_isLeaving && !dueEvent(now);
}

std::uint64_t Registration::malformedRecords() const
{
    return m_malformedRecords;
}

} // namespace Eelgrasscleat
