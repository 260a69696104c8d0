/// @file
/// Decides when this instance appends a snapshot, so that one is always kept in the log and few are written at once.
#pragma once

#include <eelgrasscleat/Contract/ConfigFollower.h>

#include <cstdint>
#include <optional>

namespace Eelgrasscleat
{

/// Times of snapshots. Every instance draws its own time; the first one's record puts the others off.
class SnapshotSchedule
{
public:
    explicit SnapshotSchedule(const ConfigFollowerSettings &times);

    /// A snapshot record was read. @param isNew whether it was appended while this instance followed the log
    void seen(std::uint64_t offset, bool isNew, Instant now);
    /// @param nextOffset records applied so far
    /// @returns whether a snapshot is to be appended now.
    bool isDue(std::uint64_t nextOffset, Instant now, RandomSource &random);

private:
    Duration draw(Duration most, RandomSource &random) const;

    ConfigFollowerSettings m_times;
    std::optional<std::uint64_t> m_newest; ///< Offset of the newest snapshot seen.
    std::optional<Instant> m_newestAt; ///< When it was appended, if known.
    std::optional<Instant> m_dueAt;
    bool m_isEarly = false; ///< The number of records has already brought the time forward.
};

} // namespace Eelgrasscleat
