/// @file
/// Scheduling of reads of one log stream: one read at a time, periodically or earlier on request.
#pragma once

#include <eelgrasscleat/Platform/LogService.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Tracks the read position in a log stream and decides when the next read is due. Performs no I/O.
class StreamReader
{
public:
    /// @param interval time between reads unless one is requested earlier
    explicit StreamReader(Duration interval);

    /// Requests a read as soon as none is in flight.
    void requestRead();
    /// @returns the offset to read from, if a read is due now.
    std::optional<std::uint64_t> startRead(Instant now);
    /// Handles the result of the read in flight.
    /// @returns the new records in order, without those returned before.
    std::vector<schema::RecordPage::Record> completeRead(const Result<schema::RecordPage> &page, Instant now);

    /// @returns whether the last read reached the end of the stream.
    [[nodiscard]] bool isAtEnd() const;
    /// @returns the lowest offset that the log retained at the last read.
    [[nodiscard]] std::uint64_t firstKept() const;

private:
    Duration m_interval;
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_firstKept = 0;
    std::optional<Instant> m_lastRead;
    bool m_isReading = false;
    bool m_isReadRequested = true;
    bool m_isAtEnd = false;
};

} // namespace Eelgrasscleat
