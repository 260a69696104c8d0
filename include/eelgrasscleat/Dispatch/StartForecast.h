/// @file
/// Forecasts when queued jobs start and end, from the ends of the runs on the targets and the order of the queue.
/// Serves a load near or above what the targets can carry, at which a job that is let in waits for all jobs before it.
/// Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

/// A schedule of the targets of one service. Tasks are added in the order in which they will be started; each one goes
/// where it ends first.
class StartForecast
{
public:
    /// Capacity that becomes free.
    struct Release
    {
        Instant at {};
        std::uint32_t milliCores = 0;
    };
    /// Tasks that may start at the same time.
    struct TaskGroup
    {
        std::uint32_t tasks = 0;
        std::uint32_t milliCores = 0; ///< Per task.
        Duration run {}; ///< Expected run time on the reference target.
    };
    /// Expected times of the task of a group that ends last.
    struct Booking
    {
        Instant start {};
        Instant end {};
    };

    explicit StartForecast(Instant now)
        : m_now(now)
    {
    }

    /// @param freeMilliCores capacity that is free now
    /// @param slowness run time on the target, relative to the reference target
    /// @param releases expected ends of the target's runs, in any order
    void addTarget(std::uint32_t freeMilliCores, double slowness, std::vector<Release> releases);

    /// Adds the tasks of a group.
    /// @returns the expected times; nothing if a task fits no target
    std::optional<Booking> book(const TaskGroup &group);
    /// Takes back the latest group.
    void undo();

private:
    struct Target
    {
        std::uint32_t freeMilliCores = 0; ///< From freeAt on, until the next release.
        double slowness = 1;
        Instant freeAt {};
        std::vector<Release> releases; ///< Later than freeAt; the earliest is the last element.
    };

    [[nodiscard]] static std::optional<Instant> startOn(const Target &target, std::uint32_t milliCores);
    static void take(Target &target, std::uint32_t milliCores, Instant end);

    Instant m_now;
    std::vector<Target> m_targets;
    std::vector<std::pair<std::size_t, Target>> m_replaced; ///< Targets before the latest group, latest change last.
};

} // namespace Eelgrasscleat
