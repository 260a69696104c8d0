/// @file
/// Simulation of several permit ledgers with message loss, delay, duplication and reordering, network partitions
/// between zones, and instances that are killed, frozen and replaced under the same name.
#pragma once

#include <eelgrasscleat/Admission/PermitLedger.h>
#include <eelgrasscleat/Support/Random.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Eelgrasscleat
{

/// Runs a schedule of random faults derived from a seed. Steps advance the simulated global time; the clock of each
/// instance has its own offset and rate.
class LedgerSimulation
{
public:
    explicit LedgerSimulation(std::uint64_t seed);

    /// Runs the schedule of faults.
    /// @returns false as soon as more work is running or could be started than the limit allows.
    bool runFaults();
    /// Ends all faults, waits until outstanding loans have expired, then sends all work to one instance.
    /// @returns the number of permits that this instance can use after 2 s.
    std::uint32_t usableAfterRecovery();

    [[nodiscard]] std::uint32_t limit() const
    {
        return m_limit;
    }
    /// @returns the maximum amount of work that was running at the same time.
    [[nodiscard]] std::uint32_t maxRunning() const
    {
        return m_maxRunning;
    }
    /// @returns the maximum amount of work that was running or could have been started at the same time.
    [[nodiscard]] std::uint32_t maxStartable() const
    {
        return m_maxStartable;
    }
    /// @returns the faults of the schedule so far, one per line.
    [[nodiscard]] const std::string &schedule() const
    {
        return m_schedule;
    }

private:
    struct Prepared
    {
        Permit permit;
        Duration writeAt {};
    };
    struct Running
    {
        Permit permit;
        Duration startedAt {};
        Duration endsAt {};
        IncarnationId holder;
        bool isReleased = false; ///< Its instance has released the permit.
    };
    struct Instance
    {
        PeerId id;
        std::size_t zone = 0;
        std::unique_ptr<PermitLedger> ledger;
        Duration clockOffset {};
        double clockRate = 1;
        Duration frozenUntil {};
        Duration baseUsableFrom {};
        Duration stopsBy = Duration::max(); ///< A replaced instance stops using the base share by this time.
        bool isReplaced = false;
        bool isBusy = true; ///< Work arrives at this instance.
        bool hasStalePeers = false; ///< Does not learn of replaced peers while faults are injected.
        std::vector<Prepared> prepared;
    };
    struct Envelope
    {
        std::size_t fromZone = 0;
        PeerId from;
        LedgerMessage content;
    };

    Duration draw(Duration bound);
    bool drawOneIn(std::uint64_t oneIn);
    void logEvent(const std::string &line);
    void startInstance(std::size_t name, Duration baseUsableFrom);
    Instant clock(const Instance &instance) const;
    void injectFault();
    void redistributeWork();
    void replace(std::size_t index, bool killOld);
    void step();
    void stepInstance(Instance &instance);
    void startWork(Instance &instance);
    void send(const Instance &from, std::vector<LedgerMessage> &messages);
    void deliverMessages();
    void completeWork();
    void updateMaxima();
    void refreshPeers(Instance &instance);
    bool isCut(std::size_t zone, std::size_t other) const;

    RandomSource m_random;
    std::uint32_t m_limit = 0;
    std::size_t m_instanceCount = 0;
    std::size_t m_zones = 0;
    std::vector<Instance> m_instances; ///< Current instances by name, followed by replaced ones that still run.
    std::multimap<Duration, Envelope> m_network;
    std::vector<Running> m_running;
    std::set<std::size_t> m_cutZones;
    std::uint64_t m_lastIncarnation = 0;
    Duration m_now {};
    bool m_hasFaults = true;
    std::uint32_t m_maxRunning = 0;
    std::uint32_t m_maxStartable = 0;
    std::string m_schedule;
};

} // namespace Eelgrasscleat
