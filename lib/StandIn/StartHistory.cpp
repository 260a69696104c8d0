/// @file
/// Records in order of arrival, counts by task. A refused start has not run and counts for no task.
#include "StartHistory.h"

#include <algorithm>
#include <utility>

namespace Eelgrasscleat
{

void StartHistory::add(schema::StartRecord record)
{
    if (record.disposition() != schema::START_DISPOSITION_REFUSED) {
        ++m_started;
        ++m_starts[TaskName { record.customer(), record.submission(), record.task() }];
    }
    m_records.push_back(std::move(record));
}

void StartHistory::clear()
{
    m_records.clear();
    m_starts.clear();
    m_started = 0;
}

schema::StartLog StartHistory::page(std::uint64_t from, std::uint64_t max) const
{
    schema::StartLog log;
    log.set_received(m_records.size());
    log.set_started(m_started);
    log.set_tasks_started(m_starts.size());
    for (const auto &[name, starts] : m_starts) {
        if (starts < 2) {
            continue;
        }
        auto *added = log.add_repeated_tasks();
        added->set_customer(name.customer);
        added->set_submission(name.submission);
        added->set_task(name.task);
        added->set_starts(starts);
    }
    log.set_tasks_started_twice(static_cast<std::uint64_t>(log.repeated_tasks_size()));
    const std::uint64_t begin = std::min<std::uint64_t>(from, m_records.size());
    const std::uint64_t end = begin + std::min<std::uint64_t>(max, m_records.size() - begin);
    for (std::uint64_t index = begin; index < end; ++index) {
        *log.add_starts() = m_records[index];
    }
    log.set_next(end);
    return log;
}

} // namespace Eelgrasscleat
