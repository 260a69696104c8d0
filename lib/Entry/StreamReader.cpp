/// @file
/// Scheduling of reads and removal of duplicate records.
#include "StreamReader.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Minimum time between two reads, also for requested ones.
static constexpr Duration MinInterval = std::chrono::milliseconds(2);

StreamReader::StreamReader(Duration interval)
    : m_interval(interval)
{
}

void StreamReader::requestRead()
{
    m_isReadRequested = true;
}

std::optional<std::uint64_t> StreamReader::startRead(Instant now)
{
    if (m_isReading) {
        return std::nullopt;
    }
    const Duration wait = m_isReadRequested ? MinInterval : m_interval;
    if (m_lastRead && now < *m_lastRead + wait) {
        return std::nullopt;
    }
    m_isReading = true;
    m_isReadRequested = false;
    m_lastRead = now;
    return m_nextOffset;
}

std::vector<schema::RecordPage::Record> StreamReader::completeRead(const Result<schema::RecordPage> &page, Instant now)
{
    m_isReading = false;
    m_lastRead = now;
    if (!isOk(page)) {
        return {};
    }
    const auto &read = std::get<schema::RecordPage>(page);
    m_firstKept = read.first_kept();
    std::vector<schema::RecordPage::Record> fresh;
    for (const auto &it : read.records()) {
        if (it.offset() >= m_nextOffset) {
            fresh.push_back(it);
            m_nextOffset = it.offset() + 1;
        }
    }
    m_nextOffset = std::max(m_nextOffset, m_firstKept);
    m_isAtEnd = m_nextOffset >= read.next();
    m_isReadRequested = m_isReadRequested || !m_isAtEnd;
    return fresh;
}

bool StreamReader::isAtEnd() const
{
    return m_isAtEnd;
}

std::uint64_t StreamReader::firstKept() const
{
    return m_firstKept;
}

} // namespace Eelgrasscleat
