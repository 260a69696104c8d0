/// @file
/// Simulates nine followers in three zones, a log and operators with random faults, and checks invariants of the
/// configuration.
#pragma once

#include "ChangeModel.h"
#include "ConfigFixtures.h"

#include <eelgrasscleat/Contract/ChangePublisher.h>
#include <eelgrasscleat/Contract/ConfigFollower.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// A simulation run. The seed determines all faults.
class ConfigSimulation
{
public:
    explicit ConfigSimulation(std::uint64_t seed);
    ~ConfigSimulation();

    /// Runs the simulation. @returns the first violated invariant with the events up to it, or an empty string.
    std::string run();

private:
    struct Instance;
    struct Operator;

    static constexpr std::size_t InstanceCount = 9;
    static constexpr std::size_t ZoneCount = 3;

    bool draw(std::uint64_t perThousand);
    void recordEvent(const std::string &event);
    void fail(const std::string &what);
    void schedule(Duration delay, std::function<void()> event);
    void scheduleFor(std::size_t index, Duration delay, std::function<void(Instance &)> event);

    void drawFaults();
    void clearFaults();
    void replaceInstance(std::size_t index);
    void startPublication();
    void step();
    void stepInstance(std::size_t index);
    void stepOperator(Operator &op);
    void sendHeartbeats(std::size_t index);
    void perform(std::size_t index, const std::vector<ConfigAction> &actions);
    void readFor(std::size_t index, std::uint64_t from);
    void append(const schema::ConfigRecord &record);
    void appendFor(Operator &op, const schema::ConfigRecord &record);
    [[nodiscard]] bool canReachPlatform(std::size_t zone) const;
    [[nodiscard]] bool areConnected(std::size_t a, std::size_t b) const;

    void updatePaths();
    void checkInstance(std::size_t index);
    void checkPropagation(std::size_t index);
    void checkOutcome(const Operator &op);
    void checkEnd();

    std::uint64_t m_seed;
    RandomSource m_random;
    ConfigFollowerSettings m_settings;
    Instant m_now { std::chrono::seconds(1000) };
    bool m_faultsEnabled = true;
    std::string m_failure;
    std::vector<std::string> m_eventLog;
    std::multimap<Instant, std::function<void()>> m_events;

    MemoryLog m_log;
    bool m_platformUp = true;
    Instant m_platformReachedAt = m_now; ///< When any zone could last reach the log.
    std::array<bool, ZoneCount> m_zoneCutFromPlatform {};
    std::array<std::array<bool, ZoneCount>, ZoneCount> m_zonesCut {};
    /// Start of the current path to the log, by zone and relaying zone.
    std::array<std::array<Instant, ZoneCount>, ZoneCount> m_pathSince;

    ConfigState m_reference;
    ChangeModel m_model;
    std::vector<std::string> m_states; ///< Serialized reference state by next offset.
    std::vector<Instant> m_appendedAt; ///< By offset.
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<Operator>> m_operators;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextChange = 1;
};

} // namespace Eelgrasscleat
