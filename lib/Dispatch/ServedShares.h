/// @file
/// Shares of the work of each priority that are served in time. Serves a load above what the targets can carry: by
/// priority alone, the least urgent jobs would get nothing. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <map>

namespace Eelgrasscleat
{

/// Exponentially decaying totals of the decided work by priority, and of the part of it that was started in time.
class ServedShares
{
public:
    /// @param work core-time of a task, in thousandths of a core times microseconds
    /// @param inTime whether it was started in time; false also for work that was refused
    void decided(std::uint32_t priority, double work, bool inTime, Instant now);
    /// @returns whether the priority gets so much less than the mean share that its jobs are placed first.
    [[nodiscard]] bool isBehind(std::uint32_t priority, Instant now) const;

private:
    struct Totals
    {
        double decided = 0;
        double inTime = 0;
        Instant at {};
    };

    [[nodiscard]] static Totals decayed(const Totals &totals, Instant now);

    std::map<std::uint32_t, Totals> m_totals; ///< By priority.
};

} // namespace Eelgrasscleat
