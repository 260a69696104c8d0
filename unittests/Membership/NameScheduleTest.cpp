/// @file
/// Tests the holders of names under partitions, freezes and replacements, with directed cases and fixed-seed schedules.
#include "NameSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class NameScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NameScheduleTest);
    CPPUNIT_TEST(start_freshFleet_heldWithin2s);
    CPPUNIT_TEST(zone_partitioned_staysHeld);
    CPPUNIT_TEST(zone_partitionedWithOneInstance_unconfirmed);
    CPPUNIT_TEST(zone_partitionedAndAllFrozen_staysUnconfirmed);
    CPPUNIT_TEST(instance_leftCleanly_successorHeldWithin2s);
    CPPUNIT_TEST(instance_died_successorHeldAfterWait);
    CPPUNIT_TEST(schedules_randomFaults_shareHasOneUser);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_freshFleet_heldWithin2s()
    {
        NameSimulation simulation(1);
        run(simulation, 20);
        expectAll(simulation, 0, NameState::Held);
        expectAll(simulation, 1, NameState::Held);
    }

    void zone_partitioned_staysHeld()
    {
        NameSimulation simulation(1);
        run(simulation, 50);
        simulation.partitionZone(0);
        for (int i = 0; i < 600; ++i) {
            run(simulation, 1);
            expectAll(simulation, 0, NameState::Held);
        }
    }

    void zone_partitionedWithOneInstance_unconfirmed()
    {
        NameSimulation simulation(1);
        run(simulation, 50);
        simulation.partitionZone(0);
        simulation.freezeNewest(2, std::chrono::hours(1));
        simulation.freezeNewest(4, std::chrono::hours(1));
        run(simulation, 60);
        CPPUNIT_ASSERT(simulation.state(0) == NameState::Unconfirmed);
    }

    void zone_partitionedAndAllFrozen_staysUnconfirmed()
    {
        NameSimulation simulation(1);
        run(simulation, 50);
        simulation.partitionZone(0);
        for (std::size_t name = 0; name < NameSimulation::NameCount; name += NameSimulation::ZoneCount) {
            simulation.freezeNewest(name, std::chrono::seconds(5));
        }
        run(simulation, 200);
        expectAll(simulation, 0, NameState::Unconfirmed);
        simulation.heal();
        run(simulation, 30);
        expectAll(simulation, 0, NameState::Held);
    }

    void instance_leftCleanly_successorHeldWithin2s()
    {
        NameSimulation simulation(1);
        run(simulation, 50);
        simulation.leave(2);
        run(simulation, 50);
        simulation.replace(2, true);
        run(simulation, 20);
        CPPUNIT_ASSERT(simulation.state(2) == NameState::Held);
    }

    void instance_died_successorHeldAfterWait()
    {
        NameSimulation simulation(1);
        run(simulation, 50);
        simulation.replace(2, true);
        run(simulation, 80);
        CPPUNIT_ASSERT(simulation.state(2) == NameState::Waiting);
        run(simulation, 60);
        CPPUNIT_ASSERT(simulation.state(2) == NameState::Held);
    }

    void schedules_randomFaults_shareHasOneUser()
    {
        constexpr std::uint64_t seedCount = 1000;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            NameSimulation simulation(seed);
            for (int i = 0; i < 400; ++i) {
                simulation.injectRandomFaults();
                run(simulation, 1);
            }
            simulation.heal();
            // Covers lost appends, the wait for the predecessor, and the confirmation.
            run(simulation, 250);
            const std::string where =
                "seed " + std::to_string(seed) + ": a name is not held 25 s after all faults ended";
            for (std::size_t name = 0; name < NameSimulation::NameCount; ++name) {
                CPPUNIT_ASSERT_MESSAGE(where, simulation.state(name) == NameState::Held);
            }
        }
    }

private:
    static void run(NameSimulation &simulation, int steps)
    {
        for (int i = 0; i < steps; ++i) {
            const std::string failure = simulation.step();
            CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
        }
    }

    static void expectAll(const NameSimulation &simulation, std::size_t zone, NameState state)
    {
        for (std::size_t name = zone; name < NameSimulation::NameCount; name += NameSimulation::ZoneCount) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                std::to_string(name), static_cast<int>(state), static_cast<int>(simulation.state(name)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NameScheduleTest);

} // namespace Eelgrasscleat
