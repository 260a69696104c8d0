/// @file
/// Simulation of processes in two zones that hold names, freeze, resume, die and are replaced, with a log and
/// heartbeats.
#pragma once

#include <eelgrasscleat/Membership/HeartbeatExchange.h>
#include <eelgrasscleat/Membership/NameHolder.h>
#include <eelgrasscleat/Membership/PeerTracker.h>
#include <eelgrasscleat/Membership/Registration.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// One simulation run. Faults are injected by the test or generated from the seed.
class NameSimulation
{
public:
    /// One incarnation of a name, alive, frozen or dead.
    struct Process;

    static constexpr std::size_t NameCount = 6;
    static constexpr std::size_t ZoneCount = 2;

    explicit NameSimulation(std::uint64_t seed);
    ~NameSimulation();

    /// Runs one step. @returns a description of the violated invariant with the schedule so far, or an empty string.
    std::string step();
    /// Injects random faults before the next step.
    void injectRandomFaults();
    /// Ends all partitions, outages and freezes; all processes but the newest of each name die.
    void heal();
    /// Starts a new process of a name; the previous one is killed or continues.
    void replace(std::size_t name, bool killOld);
    void freezeNewest(std::size_t name, Duration duration);
    void partitionZone(std::size_t zone);
    /// Ends the newest process of a name cleanly.
    void leave(std::size_t name);
    /// @returns the state of the newest process of a name.
    [[nodiscard]] NameState state(std::size_t name) const;

private:
    bool draw(std::uint64_t perThousand);
    void trace(const std::string &event);
    void schedule(Duration delay, std::function<void()> event);
    void deliver(Process &process, Duration delay, std::function<void()> event);
    void runProcess(Process &process);
    void sendHeartbeats(Process &process);
    void append(Process &process, const schema::IncarnationRecord &record);
    void read(Process &process, std::uint64_t from);
    [[nodiscard]] bool reachesPlatform(std::size_t zone) const;
    [[nodiscard]] bool isReplacedInLog(const Process &process) const;
    [[nodiscard]] std::string check(const Process &process) const;

    RandomSource m_random;
    std::uint64_t m_seed;
    Instant m_now;
    bool m_platformUp = true;
    bool m_losesAppends = false;
    bool m_zonesPartitioned = false;
    std::array<bool, ZoneCount> m_cutFromPlatform {};
    std::vector<std::string> m_log;
    std::vector<std::string> m_schedule;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::array<Process *, NameCount> m_newest {};
};

} // namespace Eelgrasscleat
