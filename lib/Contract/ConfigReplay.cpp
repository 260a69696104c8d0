/// @file
/// Replay of the config stream.
#include "ConfigReplay.h"

#include <algorithm>

namespace Eelgrasscleat
{

void ConfigReplay::applyPage(const schema::RecordPage &page)
{
    if (page.first_kept() > m_state.nextOffset() && !skipToSnapshot(page)) {
        return;
    }
    m_snapshotScanOffset.reset();
    for (const schema::RecordPage::Record &raw : page.records()) {
        if (raw.offset() > m_state.nextOffset()) {
            return;
        }
        schema::ConfigRecord record;
        if (!record.ParseFromString(raw.data())) {
            // An empty record gets the verdict invalid, on all instances alike.
            record.Clear();
            m_malformedRecords += raw.offset() == m_state.nextOffset() ? 1 : 0;
        }
        applyRecord(raw.offset(), record);
    }
}

bool ConfigReplay::skipToSnapshot(const schema::RecordPage &page)
{
    std::uint64_t scanned = std::max(page.first_kept(), m_snapshotScanOffset.value_or(0));
    for (const schema::RecordPage::Record &raw : page.records()) {
        scanned = std::max(scanned, raw.offset() + 1);
        schema::ConfigRecord record;
        if (!record.ParseFromString(raw.data()) || !record.has_snapshot()) {
            continue;
        }
        applyRecord(raw.offset(), record);
    }
    // A snapshot is usable only if the records after it have not expired.
    if (m_state.nextOffset() >= page.first_kept()) {
        return true;
    }
    m_snapshotScanOffset = scanned;
    return false;
}

void ConfigReplay::applyTail(const schema::ConfigTail &tail)
{
    const std::uint64_t before = m_state.nextOffset();
    if (tail.has_snapshot()) {
        m_state.restore(tail.snapshot());
    }
    for (const schema::ConfigTail::Entry &entry : tail.entries()) {
        applyRecord(entry.offset(), entry.record());
    }
    if (m_state.nextOffset() > before) {
        // The log may still contain the records after the tail.
        m_snapshotScanOffset.reset();
    }
}

void ConfigReplay::applyRecord(std::uint64_t offset, const schema::ConfigRecord &record)
{
    const bool isNext = offset == m_state.nextOffset();
    const bool isApplied = isOk(m_state.apply(offset, record));
    if (!isApplied) {
        return;
    }
    if (record.has_snapshot()) {
        m_newestSnapshotOffset = std::max(m_newestSnapshotOffset.value_or(0), offset);
    }
    if (isNext) {
        m_cache.add(offset, record);
    }
}

std::uint64_t ConfigReplay::nextReadOffset() const
{
    return std::max(m_snapshotScanOffset.value_or(0), m_state.nextOffset());
}

bool ConfigReplay::needsSnapshot() const
{
    return m_snapshotScanOffset && *m_snapshotScanOffset > m_state.nextOffset();
}

std::optional<std::uint64_t> ConfigReplay::newestSnapshotOffset() const
{
    return m_newestSnapshotOffset;
}

const ConfigState &ConfigReplay::state() const
{
    return m_state;
}

const RecordCache &ConfigReplay::cache() const
{
    return m_cache;
}

std::uint64_t ConfigReplay::malformedRecords() const
{
    return m_malformedRecords;
}

} // namespace Eelgrasscleat
