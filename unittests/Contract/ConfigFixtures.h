/// @file
/// Test changes and an in-memory log for the tests of the configuration.
#pragma once

#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>

#include <algorithm>
#include <deque>
#include <string>

namespace Eelgrasscleat
{

inline schema::Contract makeContract(const std::string &customer, std::uint32_t limit)
{
    schema::Contract contract;
    contract.set_customer(customer);
    contract.set_service("engrave-desk");
    contract.set_key_sha256(std::string(32, 'k'));
    contract.set_in_flight_limit(limit);
    contract.set_urgency(schema::URGENCY_URGENT);
    contract.set_max_run_ms(5000);
    contract.set_max_queued(1000);
    return contract;
}

inline schema::ConfigChange makeEmptyChange(const std::string &id, std::uint64_t base)
{
    schema::ConfigChange change;
    change.set_change_id(id);
    change.set_base_version(base);
    change.set_author("operator");
    change.set_reason("test");
    return change;
}

inline schema::ConfigChange
makeChange(const std::string &id, std::uint64_t base, const std::string &customer, std::uint32_t limit = 10)
{
    schema::ConfigChange change = makeEmptyChange(id, base);
    *change.add_operations()->mutable_put_contract() = makeContract(customer, limit);
    return change;
}

inline schema::ConfigRecord makeRecord(const schema::ConfigChange &change)
{
    schema::ConfigRecord record;
    *record.mutable_change() = change;
    return record;
}

/// An in-memory config stream with retention.
class MemoryLog
{
public:
    std::uint64_t append(const std::string &data, Instant now = {})
    {
        m_records.push_back({ .at = now, .data = data });
        return next() - 1;
    }

    /// Drops the records that were appended before @p oldest.
    void expire(Instant oldest)
    {
        while (!m_records.empty() && m_records.front().at < oldest) {
            m_records.pop_front();
            ++m_first;
        }
    }

    [[nodiscard]] std::uint64_t next() const
    {
        return m_first + m_records.size();
    }

    [[nodiscard]] schema::RecordPage page(std::uint64_t from, std::size_t most) const
    {
        schema::RecordPage page;
        page.set_first_kept(m_first);
        page.set_next(next());
        const std::uint64_t begin = std::max(from, m_first);
        for (std::uint64_t offset = begin; offset < next() && offset < begin + most; ++offset) {
            schema::RecordPage::Record *record = page.add_records();
            record->set_offset(offset);
            record->set_data(m_records[offset - m_first].data);
        }
        return page;
    }

private:
    struct Entry
    {
        Instant at;
        std::string data;
    };

    std::uint64_t m_first = 0;
    std::deque<Entry> m_records;
};

} // namespace Eelgrasscleat
