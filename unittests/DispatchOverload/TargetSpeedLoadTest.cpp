/// @file
/// Load near capacity on targets of different speeds, with sizes that callers estimate badly: what the callers get
/// depends on how well the owners know the speeds.
#include "../Dispatch/DividedFleet.h"

namespace Eelgrasscleat
{

class TargetSpeedLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetSpeedLoadTest);
    CPPUNIT_TEST(burstOf13_badEstimates_nearlyAllInTime);
    CPPUNIT_TEST(minuteOfLoad_rareLongJobs_servedAsAtFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The users' site of 48 targets, a third of them slow and large, and the bursts of its days: at most 2 of 100
    /// urgent and short jobs are late, and 1 of 10 long ones.
    void burstOf13_badEstimates_nearlyAllInTime()
    {
        const auto sums = play(1.3, std::chrono::seconds(8), 8);
        assertInTime(sums, 0, 0.98);
        assertInTime(sums, 1, 0.98);
        assertInTime(sums, 2, 0.9);
    }

    /// The frequent kinds must not shift what owners expect of a kind that has few runs: such jobs were refused after
    /// half a minute, since their expected run times grew.
    void minuteOfLoad_rareLongJobs_servedAsAtFirst()
    {
        const auto sums = play(1, std::chrono::seconds(60), 2);
        assertInTime(sums, 0, 0.98);
        assertInTime(sums, 1, 0.98);
        assertInTime(sums, 2, 0.9);
    }

private:
    static std::map<std::uint32_t, KindTally> play(double burst, std::chrono::seconds length, std::uint64_t seeds)
    {
        const FleetLoad load { .targets = 48,
                               .fleetTargets = 48,
                               .shape = { { 0.7, 0.7, 1.7 }, { 16000, 16000, 24000 } },
                               .meanMilliCores = 6800,
                               .maxMilliCores = 10000,
                               .burst = burst };
        constexpr std::size_t kOwners = 3;
        constexpr std::size_t kHomes = 8;
        constexpr double kJobsPerSecond = 141;
        std::map<std::uint32_t, KindTally> sums;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            DividedFleet fleet(seed, kOwners, kHomes, DivisionPolicy().maxParts, TargetDeal::Shuffled, load);
            fleet.play(kJobsPerSecond, length);
            for (const auto &it : fleet.tallies) {
                sums[it.first].submitted += it.second.submitted;
                sums[it.first].inTime += it.second.inTime;
            }
        }
        return sums;
    }

    static void assertInTime(const std::map<std::uint32_t, KindTally> &sums, std::uint32_t priority, double share)
    {
        const KindTally &tally = sums.at(priority);
        const double inTime = static_cast<double>(tally.inTime) / tally.submitted;
        CPPUNIT_ASSERT_MESSAGE("priority " + std::to_string(priority) + ": " + std::to_string(inTime), inTime >= share);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedLoadTest);

} // namespace Eelgrasscleat
