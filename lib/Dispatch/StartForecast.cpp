/// @file
/// List scheduling of queued tasks. Capacity that a target frees before the start of its latest task isn't given to
/// later tasks, so that adding a task takes time proportional to the runs of the targets only.
#include <eelgrasscleat/Dispatch/StartForecast.h>

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

void StartForecast::addTarget(std::uint32_t freeMilliCores, double slowness, std::vector<Release> releases)
{
    for (Release &it : releases) {
        it.at = std::max(it.at, m_now);
    }
    std::sort(releases.begin(), releases.end(), [](const Release &a, const Release &b) { return a.at > b.at; });
    m_targets.push_back({ freeMilliCores, slowness, m_now, std::move(releases) });
}

/// @returns the first time at which the capacity is free; nothing if the target is too small.
std::optional<Instant> StartForecast::startOn(const Target &target, std::uint32_t milliCores)
{
    std::uint32_t freeMilliCores = target.freeMilliCores;
    if (freeMilliCores >= milliCores) {
        return target.freeAt;
    }
    for (auto it = target.releases.rbegin(); it != target.releases.rend(); ++it) {
        freeMilliCores += it->milliCores;
        if (freeMilliCores >= milliCores) {
            return it->at;
        }
    }
    return std::nullopt;
}

void StartForecast::take(Target &target, std::uint32_t milliCores, Instant end)
{
    while (target.freeMilliCores < milliCores) {
        assert(!target.releases.empty() && "startOn() found enough capacity");
        target.freeMilliCores += target.releases.back().milliCores;
        target.freeAt = target.releases.back().at;
        target.releases.pop_back();
    }
    target.freeMilliCores -= milliCores;
    const auto later = [](const Release &a, const Release &b) { return a.at > b.at; };
    const Release added { end, milliCores };
    target.releases.insert(std::upper_bound(target.releases.begin(), target.releases.end(), added, later), added);
}

std::optional<StartForecast::Booking> StartForecast::book(const TaskGroup &group)
{
    m_replaced.clear();
    Booking last;
    for (std::uint32_t i = 0; i < group.tasks; ++i) {
        std::optional<std::size_t> best;
        Booking booking;
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            const auto start = startOn(m_targets[target], group.milliCores);
            if (!start) {
                continue;
            }
            const auto run = std::chrono::duration_cast<Duration>(group.run * m_targets[target].slowness);
            if (!best || *start + run < booking.end) {
                best = target;
                booking = { *start, *start + run };
            }
        }
        if (!best) {
            undo();
            return std::nullopt;
        }
        m_replaced.emplace_back(*best, m_targets[*best]);
        take(m_targets[*best], group.milliCores, booking.end);
        if (booking.end > last.end) {
            last = booking;
        }
    }
    return last;
}

void StartForecast::undo()
{
    for (auto it = m_replaced.rbegin(); it != m_replaced.rend(); ++it) {
        m_targets[it->first] = std::move(it->second);
    }
    m_replaced.clear();
}

} // namespace Eelgrasscleat
