/// @file
/// Tracks how long records of the config stream have been known to be missing.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <deque>

namespace Eelgrasscleat
{

/// Compares the offsets that were reported by the log or by peers with the records applied by this instance.
class StalenessTracker
{
public:
    /// The log or a peer has all records below @p nextOffset.
    void updateAvailable(std::uint64_t nextOffset, Instant now);
    /// This instance has applied all records below @p nextOffset.
    void updateApplied(std::uint64_t nextOffset);
    /// @returns the highest available offset.
    [[nodiscard]] std::uint64_t highestAvailable() const;
    /// @returns for how long the oldest missing record has been known to exist; zero if none is missing.
    [[nodiscard]] Duration staleness(Instant now) const;

private:
    struct MissingRange
    {
        std::uint64_t nextOffset = 0;
        Instant since;
    };

    std::deque<MissingRange> m_missing;
    std::uint64_t m_available = 0;
    std::uint64_t m_applied = 0;
};

} // namespace Eelgrasscleat
