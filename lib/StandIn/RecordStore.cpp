/// @file
/// Streams as queues whose front has the lowest offset that is still kept.
#include "RecordStore.h"

#include <algorithm>
#include <utility>

namespace Eelgrasscleat
{

/// Size of records after which a page ends.
static constexpr std::size_t PageBytes = 1048576;

RecordStore::RecordStore(Duration retention)
    : m_retention(retention)
{
}

std::uint64_t RecordStore::append(const std::string &stream, std::string data, Instant now)
{
    Stream &found = m_streams[stream];
    found.records.push_back({ now, std::move(data) });
    return found.firstKept + found.records.size() - 1;
}

schema::RecordPage RecordStore::read(const std::string &stream, std::uint64_t from, std::size_t max) const
{
    schema::RecordPage page;
    const auto it = m_streams.find(stream);
    if (it == m_streams.end()) {
        return page;
    }
    const Stream &found = it->second;
    page.set_first_kept(found.firstKept);
    page.set_next(found.firstKept + found.records.size());
    std::size_t bytes = 0;
    for (auto offset = std::max(from, found.firstKept); offset < page.next(); ++offset) {
        const Record &record = found.records[offset - found.firstKept];
        bytes += record.data.size();
        const auto count = static_cast<std::size_t>(page.records_size());
        // The first record always goes, however large: a page without it would never get further.
        if (count >= max || (count > 0 && bytes > PageBytes)) {
            break;
        }
        auto *added = page.add_records();
        added->set_offset(offset);
        added->set_data(record.data);
    }
    return page;
}

void RecordStore::expireBelow(const std::string &stream, std::uint64_t offset)
{
    Stream &found = m_streams[stream];
    while (!found.records.empty() && found.firstKept < offset) {
        dropOldest(found);
    }
}

void RecordStore::expire(Instant now)
{
    if (m_retention.count() == 0) {
        return;
    }
    for (auto &[name, stream] : m_streams) {
        while (!stream.records.empty() && now - stream.records.front().at >= m_retention) {
            dropOldest(stream);
        }
    }
}

std::size_t RecordStore::size() const
{
    std::size_t count = 0;
    for (const auto &[name, stream] : m_streams) {
        count += stream.records.size();
    }
    return count;
}

void RecordStore::dropOldest(Stream &stream)
{
    stream.records.pop_front();
    ++stream.firstKept;
}

AppendCap::AppendCap(std::size_t perSecond)
    : m_perSecond(perSecond)
{
}

bool AppendCap::take(Instant now)
{
    while (!m_taken.empty() && now - m_taken.front() >= std::chrono::seconds(1)) {
        m_taken.pop_front();
    }
    if (m_taken.size() >= m_perSecond) {
        return false;
    }
    m_taken.push_back(now);
    return true;
}

} // namespace Eelgrasscleat
