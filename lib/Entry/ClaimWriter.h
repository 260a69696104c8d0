/// @file
/// Batches claims of submissions into appends to the log's "claims" stream, and tracks those whose append has an
/// unknown result. Performs no I/O and reads no clock.
#pragma once

#include <eelgrasscleat/Support/Digest.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Writes the claims of one incarnation, with at most one append in flight.
class ClaimWriter
{
public:
    /// @param interval minimum time between two appends; it keeps all instances together below the log's rate limit
    ClaimWriter(IncarnationId self, Duration interval);

    /// Adds a claim to the next append.
    void add(const Digest &digest);
    /// @returns the record to append now, or nothing if none is due or an append is in flight.
    std::optional<std::string> startAppend(Instant now);
    /// Handles the result of the append in flight. Its claims are appended again if the log's limit rejected them or
    /// the result is unknown.
    /// @returns the claims that are certainly not written and won't be retried, since no part of the append was sent.
    std::vector<Digest> completeAppend(const Result<std::uint64_t> &offset, Instant now);
    /// Marks a claim as written, since it was read back from the log.
    void confirm(const Digest &digest);

    /// @returns whether the stream has to be read, because a claim that may be written was not read back yet.
    [[nodiscard]] bool needsRead() const;
    /// @returns an upper bound of the number of claims that await their append or confirmation.
    [[nodiscard]] std::size_t pending() const;

private:
    void scheduleRetry(Instant now);

    IncarnationId m_self;
    Duration m_interval;
    std::deque<Digest> m_queued;
    std::vector<Digest> m_appending;
    std::set<Digest> m_unconfirmed; ///< Sent at least once, not read back yet.
    bool m_isAppending = false;
    std::optional<Instant> m_lastAppend;
    std::optional<Instant> m_retryAt;
};

} // namespace Eelgrasscleat
