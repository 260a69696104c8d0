/// @file
/// Random schedule of snapshots.
#include "SnapshotSchedule.h"

#include <algorithm>

namespace Eelgrasscleat
{

SnapshotSchedule::SnapshotSchedule(const ConfigFollowerSettings &settings)
    : m_settings(settings)
{
}

void SnapshotSchedule::snapshotRead(std::uint64_t offset, bool isNew, Instant now)
{
    if (m_newestOffset && offset <= *m_newestOffset) {
        return;
    }
    m_newestOffset = offset;
    m_newestAppendedAt.reset();
    if (isNew) {
        m_newestAppendedAt = now;
    }
    m_dueAt.reset();
    m_isBroughtForward = false;
}

bool SnapshotSchedule::isDue(std::uint64_t nextOffset, Instant now, RandomSource &random)
{
    if (nextOffset == 0) {
        return false;
    }
    if (!m_dueAt) {
        // A snapshot of unknown age may expire soon. Drawing from the whole interval ensures that snapshots are
        // appended even if instances are replaced repeatedly, since some instance always draws a short time.
        m_dueAt = m_newestAppendedAt
            ? *m_newestAppendedAt + m_settings.snapshotInterval + drawDuration(m_settings.snapshotJitter, random)
            : now + drawDuration(m_settings.snapshotInterval, random);
    }
    if (!m_isBroughtForward && nextOffset >= m_newestOffset.value_or(0) + m_settings.snapshotRecords) {
        m_isBroughtForward = true;
        m_dueAt = std::min(*m_dueAt, now + drawDuration(m_settings.snapshotJitter, random));
    }
    if (now < *m_dueAt) {
        return false;
    }
    // Retries in case the append is lost.
    m_dueAt = now + m_settings.snapshotJitter + drawDuration(m_settings.snapshotJitter, random);
    return true;
}

Duration SnapshotSchedule::drawDuration(Duration maximum, RandomSource &random) const
{
    return Duration(static_cast<Duration::rep>(drawBelow(random, static_cast<std::uint64_t>(maximum.count()) + 1)));
}

} // namespace Eelgrasscleat
