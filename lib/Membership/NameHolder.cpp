/// @file
/// Holder of an instance name: waiting for the predecessor, confirmation, freezes.
#include <eelgrasscleat/Membership/NameHolder.h>

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

NameHolder::NameHolder(PeerId self, const NameHolderTimes &times)
    : m_self(std::move(self))
    , m_times(times)
{
    assert(m_times.confirmationTimeout > Duration::zero() && "a holder needs a time to be confirmed in");
    assert(m_times.freezeThreshold > Duration::zero() && "a freeze needs a length");
}

void NameHolder::setStreamStartRead()
{
    m_streamStartRead = true;
}

void NameHolder::handleMissedRecords()
{
    m_replaced = m_replaced || m_registered;
}

void NameHolder::applyIncarnationRecord(const schema::IncarnationRecord &record, Instant now)
{
    detectFreeze(now);
    if (record.instance() != m_self.name.value) {
        return;
    }
    const IncarnationId incarnation(record.incarnation());
    if (record.event() == schema::INCARNATION_EVENT_LEFT) {
        if (incarnation == m_predecessor) {
            m_predecessorLeft = true;
        }
        return;
    }
    if (record.event() != schema::INCARNATION_EVENT_JOINED || !m_joined.insert(incarnation).second) {
        return;
    }
    if (incarnation == m_self.incarnation) {
        m_registered = true;
        m_usableFrom =
            now + m_times.confirmationTimeout + m_times.freezeThreshold + m_times.maxRunTime + m_times.successionMargin;
        return;
    }
    if (m_registered) {
        m_replaced = true;
        return;
    }
    m_predecessor = incarnation;
    m_predecessorLeft = false;
}

void NameHolder::confirmByLog(Instant readSentAt, Instant now)
{
    detectFreeze(now);
    confirm(readSentAt);
}

void NameHolder::confirmByPeer(Instant sentAt, Duration peerConfirmedAge, Instant now)
{
    detectFreeze(now);
    if (peerConfirmedAge > m_times.confirmationTimeout) {
        return;
    }
    confirm(sentAt);
}

void NameHolder::handleReplacement(IncarnationId newer)
{
    if (newer != m_self.incarnation) {
        m_replaced = true;
    }
}

NameState NameHolder::step(Instant now)
{
    detectFreeze(now);
    if (m_replaced) {
        return NameState::Replaced;
    }
    if (!m_registered) {
        return NameState::Unregistered;
    }
    if (!havePredecessorsEnded(now)) {
        return NameState::Waiting;
    }
    return confirmedAge(now) <= m_times.confirmationTimeout ? NameState::Held : NameState::Unconfirmed;
}

Duration NameHolder::confirmedAge(Instant now) const
{
    // A peer takes this age for a confirmation, so an incarnation without its record must not show a short one.
    if (!m_confirmedAt || !m_registered || m_replaced) {
        return Duration::max();
    }
    return now - *m_confirmedAt;
}

const PeerId &NameHolder::self() const
{
    return m_self;
}

bool NameHolder::havePredecessorsEnded(Instant now) const
{
    if (!m_registered) {
        return false;
    }
    const bool neverHadOne = !m_predecessor && m_streamStartRead;
    return neverHadOne || m_predecessorLeft || now >= m_usableFrom;
}

/// Notices a freeze at whatever comes first after it, so that an answer from before it is not taken for a new one.
void NameHolder::detectFreeze(Instant now)
{
    if (m_lastStep && now - *m_lastStep > m_times.freezeThreshold) {
        m_resumedAt = now;
        m_confirmedAt.reset();
    }
    m_lastStep = std::max(m_lastStep.value_or(now), now);
}

void NameHolder::confirm(Instant sentAt)
{
    if (m_resumedAt && sentAt < *m_resumedAt) {
        return;
    }
    m_confirmedAt = std::max(m_confirmedAt.value_or(sentAt), sentAt);
}

} // namespace Eelgrasscleat
