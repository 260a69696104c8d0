/// @file
/// Cache of the newest records of the config stream, for peers that are slightly behind.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <contract.pb.h>
#include <peer.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace Eelgrasscleat
{

/// A bounded, contiguous range of records.
class RecordCache
{
public:
    /// Adds the record at @p offset. If it does not follow the newest record, the cache is cleared first.
    void add(std::uint64_t offset, const schema::ConfigRecord &record);
    /// @returns whether the cache contains the record at @p from and all later ones.
    [[nodiscard]] bool containsFrom(std::uint64_t from) const;
    /// Copies records to @p tail, starting at @p from, up to the size limit of a message.
    void copyTo(schema::ConfigTail &tail, std::uint64_t from) const;

private:
    struct Entry
    {
        schema::ConfigRecord record;
        std::size_t bytes = 0;
    };

    std::uint64_t m_first = 0;
    std::size_t m_bytes = 0;
    std::deque<Entry> m_entries;
};

} // namespace Eelgrasscleat
