/// @file
/// Nine followers in three zones, a log and operators under drawn faults, with the invariants of the configuration.
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

/// One run under the faults of one seed.
class ConfigSimulation
{
public:
    explicit ConfigSimulation(std::uint64_t seed);
    ~ConfigSimulation();

    /// Runs the schedule. @returns what broke, with the schedule up to there; empty if nothing did.
    std::string run();

private:
    struct Instance;
    struct Operator;

    static constexpr std::size_t InstanceCount = 9;
    static constexpr std::size_t ZoneCount = 3;

    bool draw(std::uint64_t perThousand);
    void note(const std::string &event);
    void fail(const std::string &what);
    void later(Duration delay, std::function<void()> event);
    void toInstance(std::size_t index, Duration delay, std::function<void(Instance &)> event);

    void drawFaults();
    void heal();
    void replace(std::size_t index);
    void startOperator();
    void step();
    void stepInstance(std::size_t index);
    void stepOperator(Operator &op);
    void sendHeartbeats(std::size_t index);
    void perform(std::size_t index, const std::vector<ConfigAction> &actions);
    void readFor(std::size_t index, std::uint64_t from);
    void append(const schema::ConfigRecord &record);
    void appendFor(Operator &op, const schema::ConfigRecord &record);
    [[nodiscard]] bool reachesPlatform(std::size_t zone) const;
    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const;

    void trackPaths();
    void checkInstance(std::size_t index);
    void checkInForce(std::size_t index);
    void checkOutcome(const Operator &op);
    void checkEnd();

    std::uint64_t m_seed;
    RandomSource m_random;
    ConfigFollowerSettings m_times;
    Instant m_now { std::chrono::seconds(1000) };
    bool m_faults = true;
    std::string m_failure;
    std::vector<std::string> m_schedule;
    std::multimap<Instant, std::function<void()>> m_events;

    MemoryLog m_log;
    bool m_platformUp = true;
    Instant m_platformReachedAt = m_now; ///< When any zone last had a path to the log.
    std::array<bool, ZoneCount> m_zoneCutFromPlatform {};
    std::array<std::array<bool, ZoneCount>, ZoneCount> m_zonesCut {};
    std::array<std::array<Instant, ZoneCount>, ZoneCount> m_pathSince; ///< Since when a zone has a path, by its end.

    ConfigState m_reference;
    ChangeModel m_model;
    std::vector<std::string> m_states; ///< Serialized reference by next offset.
    std::vector<Instant> m_appendedAt; ///< By offset.
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<Operator>> m_operators;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextChange = 1;
};

} // namespace Eelgrasscleat
