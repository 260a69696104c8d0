/// @file
/// Decides when this instance appends a snapshot, so that the log always contains one and instances rarely append
/// several at once.
#pragma once

#include <eelgrasscleat/Contract/ConfigFollower.h>

#include <cstdint>
#include <optional>

namespace Eelgrasscleat
{

/// Each instance draws a random time for its next snapshot. When it reads a snapshot of another instance, it schedules
/// a new time.
class SnapshotSchedule
{
public:
    explicit SnapshotSchedule(const ConfigFollowerSettings &settings);

    /// A snapshot record was read. @param isNew whether it was appended while this instance was following the log
    void snapshotRead(std::uint64_t offset, bool isNew, Instant now);
    /// Schedules the next snapshot when one is due.
    /// @param nextOffset number of records applied so far
    /// @returns whether a snapshot must be appended now.
    bool isDue(std::uint64_t nextOffset, Instant now, RandomSource &random);

private:
    /// @returns a random duration of at most @p maximum.
    Duration drawDuration(Duration maximum, RandomSource &random) const;

    ConfigFollowerSettings m_settings;
    std::optional<std::uint64_t> m_newestOffset; ///< Offset of the newest snapshot that was read.
    std::optional<Instant> m_newestAppendedAt; ///< When it was appended, if known.
    std::optional<Instant> m_dueAt;
    bool m_isBroughtForward = false; ///< m_dueAt was brought forward because of the number of records.
};

} // namespace Eelgrasscleat
