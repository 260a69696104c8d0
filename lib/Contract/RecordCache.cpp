/// @file
/// Size limits and eviction of the cache.
#include "RecordCache.h"

namespace Eelgrasscleat
{

namespace
{

constexpr std::size_t MaxBytes = 256UL * 1024;
constexpr std::size_t MaxEntries = 1024;
/// No further records are added to a message to a peer once it has reached this size.
constexpr std::size_t MaxTailBytes = 64UL * 1024;

} // namespace

void RecordCache::add(std::uint64_t offset, const schema::ConfigRecord &record)
{
    if (offset != m_first + m_entries.size()) {
        m_entries.clear();
        m_bytes = 0;
        m_first = offset;
    }
    Entry entry;
    if (record.has_snapshot()) {
        // The content is dropped, because a peer that has replayed up to this offset ignores it.
        entry.record.mutable_snapshot();
    } else {
        entry.record = record;
    }
    entry.bytes = entry.record.ByteSizeLong();
    m_bytes += entry.bytes;
    m_entries.push_back(std::move(entry));
    while (m_bytes > MaxBytes || m_entries.size() > MaxEntries) {
        m_bytes -= m_entries.front().bytes;
        m_entries.pop_front();
        ++m_first;
    }
}

bool RecordCache::containsFrom(std::uint64_t from) const
{
    return from >= m_first && from < m_first + m_entries.size();
}

void RecordCache::copyTo(schema::ConfigTail &tail, std::uint64_t from) const
{
    std::size_t bytes = 0;
    for (std::size_t i = from - m_first; i < m_entries.size() && bytes < MaxTailBytes; ++i) {
        schema::ConfigTail::Entry *entry = tail.add_entries();
        entry->set_offset(m_first + i);
        *entry->mutable_record() = m_entries[i].record;
        bytes += m_entries[i].bytes;
    }
}

} // namespace Eelgrasscleat
