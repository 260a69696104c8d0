/// @file
/// Runs the simulation with fixed seeds: concurrent changes, lost responses, expired records, outages, network
/// partitions and replaced instances.
#include "ConfigSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ConfigScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigScheduleTest);
    CPPUNIT_TEST(simulation_randomFaults_invariantsHold);
    CPPUNIT_TEST_SUITE_END();

public:
    void simulation_randomFaults_invariantsHold()
    {
        constexpr std::uint64_t seedCount = 1000;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            const std::string failure = ConfigSimulation(seed).run();
            CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigScheduleTest);

} // namespace Eelgrasscleat
