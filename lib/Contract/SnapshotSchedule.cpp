/// @file
/// Draws the times of snapshots.
#include "SnapshotSchedule.h"

#include <algorithm>

namespace Eelgrasscleat
{

SnapshotSchedule::SnapshotSchedule(const ConfigFollowerSettings &times)
    : m_times(times)
{
}

void SnapshotSchedule::seen(std::uint64_t offset, bool isNew, Instant now)
{
    if (m_newest && offset <= *m_newest) {
        return;
    }
    m_newest = offset;
    m_newestAt.reset();
    if (isNew) {
        m_newestAt = now;
    }
    m_dueAt.reset();
    m_isEarly = false;
}

bool SnapshotSchedule::isDue(std::uint64_t nextOffset, Instant now, RandomSource &random)
{
    if (nextOffset == 0) {
        return false;
    }
    if (!m_dueAt) {
        // A snapshot of unknown age may expire soon. A draw over the whole interval keeps a fleet that is replaced
        // again and again writing snapshots, since some instance always draws a short time.
        m_dueAt = m_newestAt ? *m_newestAt + m_times.snapshotInterval + draw(m_times.snapshotJitter, random)
                             : now + draw(m_times.snapshotInterval, random);
    }
    if (!m_isEarly && nextOffset >= m_newest.value_or(0) + m_times.snapshotRecords) {
        m_isEarly = true;
        m_dueAt = std::min(*m_dueAt, now + draw(m_times.snapshotJitter, random));
    }
    if (now < *m_dueAt) {
        return false;
    }
    // If the append is lost, the next one follows after a while.
    m_dueAt = now + m_times.snapshotJitter + draw(m_times.snapshotJitter, random);
    return true;
}

Duration SnapshotSchedule::draw(Duration most, RandomSource &random) const
{
    return Duration(static_cast<Duration::rep>(drawBelow(random, static_cast<std::uint64_t>(most.count()) + 1)));
}

} // namespace Eelgrasscleat
