/// @file
/// Plays loads of wide jobs on a fleet whose targets are divided among several owners, each home with views of the
/// owners that are some statuses old: what callers get with jobs divided, with jobs whole, and from one owner of all
/// targets.
#include "DividedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class DivisionLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DivisionLoadTest);
    CPPUNIT_TEST(fullFleet_jobsDivided_closeToOnePool);
    CPPUNIT_TEST(quietFleet_jobsWhole_noMoreMessages);
    CPPUNIT_TEST(ownerLost_jobsDivided_refusalsTrueAndNothingTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void fullFleet_jobsDivided_closeToOnePool()
    {
        assertCloseToOnePool(1000, 0.03);
    }

    void quietFleet_jobsWhole_noMoreMessages()
    {
        const auto messagesPerJob = [](std::size_t maxParts) {
            DividedFleet fleet(3, kOwners, kHomes, maxParts);
            fleet.play(300, std::chrono::seconds(4));
            return static_cast<double>(fleet.messages) / fleet.submitted;
        };
        CPPUNIT_ASSERT(messagesPerJob(kDivided) <= messagesPerJob(kWhole) * 1.1);
    }

    void ownerLost_jobsDivided_refusalsTrueAndNothingTwice()
    {
        for (std::uint64_t seed = 11; seed < 14; ++seed) {
            DividedFleet fleet(seed, kOwners, kHomes, kDivided);
            fleet.queue.after(std::chrono::milliseconds(1500), [&fleet] { fleet.loseOwner(1); });
            fleet.play(1300, std::chrono::seconds(3));
            CPPUNIT_ASSERT_EQUAL(0, fleet.falseRefusals);
            CPPUNIT_ASSERT(fleet.complete * 2 > fleet.submitted);
        }
    }

private:
    static constexpr std::size_t kOwners = 3;
    static constexpr std::size_t kHomes = 8;
    static constexpr std::size_t kWhole = 1;
    static constexpr std::size_t kDivided = 4;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DivisionLoadTest);

} // namespace Eelgrasscleat
