/// @file
/// The platform's log without sockets and clocks: streams of records with offsets, retention and a cap on appends.
#pragma once

#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Eelgrasscleat
{

/// Streams of records.
class RecordStore
{
public:
    /// @param retention how long a record is kept; 0 keeps all
    explicit RecordStore(Duration retention);

    /// @returns the offset of the record.
    std::uint64_t append(const std::string &stream, std::string data, Instant now);
    /// @param max most records; the page also ends at a size that one answer carries well
    [[nodiscard]] schema::RecordPage read(const std::string &stream, std::uint64_t from, std::size_t max) const;
    /// Drops the records of a stream below an offset.
    void expireBelow(const std::string &stream, std::uint64_t offset);
    /// Drops the records whose time is over.
    void expire(Instant now);
    /// @returns the records kept, over all streams.
    [[nodiscard]] std::size_t size() const;

private:
    struct Record
    {
        Instant at;
        std::string data;
    };
    struct Stream
    {
        std::uint64_t firstKept = 0;
        std::deque<Record> records;
    };

    static void dropOldest(Stream &stream);

    Duration m_retention;
    std::map<std::string, Stream> m_streams;
};

/// Cap on the appends of any one second.
class AppendCap
{
public:
    explicit AppendCap(std::size_t perSecond);
    /// @returns whether one more append is allowed at @p now; if so it counts.
    [[nodiscard]] bool take(Instant now);

private:
    std::size_t m_perSecond;
    std::deque<Instant> m_taken;
};

} // namespace Eelgrasscleat
