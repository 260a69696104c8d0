/// @file
/// Counts of free places by task size, and the division of a job's tasks by them.
#include <eelgrasscleat/Dispatch/PlaceTable.h>
#include <eelgrasscleat/Dispatch/TaskDivision.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Eelgrasscleat
{

class TaskDivisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TaskDivisionTest);
    CPPUNIT_TEST(places_twoHalves_noPlace);
    CPPUNIT_TEST(places_largerThanAnyTarget_none);
    CPPUNIT_TEST(places_mixedFleets_betterThanSumOfFreeCores);
    CPPUNIT_TEST(division_noCandidate_noShare);
    CPPUNIT_TEST(division_placesAtOne_whole);
    CPPUNIT_TEST(division_placesAtTwo_divided);
    CPPUNIT_TEST(division_noPlaces_shortestWaitsFilledEvenly);
    CPPUNIT_TEST(division_smallGain_whole);
    CPPUNIT_TEST(division_onePartAllowed_bestForAllTasks);
    CPPUNIT_TEST(division_manyCandidates_partsBounded);
    CPPUNIT_TEST(division_randomLoads_neverLaterThanWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void places_twoHalves_noPlace()
    {
        PlaceTable table(64000);
        table.add(20000);
        table.add(20000);
        CPPUNIT_ASSERT_EQUAL(0.0, table.places(32000));
        CPPUNIT_ASSERT_EQUAL(2.0, table.places(20000));
        table.add(64000);
        CPPUNIT_ASSERT_EQUAL(2.0, table.places(32000));
    }

    void places_largerThanAnyTarget_none()
    {
        PlaceTable table(64000);
        table.add(64000);
        CPPUNIT_ASSERT_EQUAL(0.0, table.places(64001));
        CPPUNIT_ASSERT_EQUAL(1.0, table.places(64000));
        CPPUNIT_ASSERT_EQUAL(0.0, PlaceTable().places(1));
    }

    void places_mixedFleets_betterThanSumOfFreeCores()
    {
        // Two of three targets have 64 cores, the third 96; what is free on them is anything.
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            RandomSource random(seed);
            PlaceTable table(96000);
            std::vector<std::uint32_t> free;
            for (int i = 0; i < 40; ++i) {
                const std::uint32_t capacity = i % 3 == 2 ? 96000 : 64000;
                free.push_back(static_cast<std::uint32_t>(drawBelow(random, capacity + 1)));
                table.add(free.back());
            }
            const double freeCores = std::accumulate(free.begin(), free.end(), 0.0);
            double error = 0;
            double errorOfSum = 0;
            for (std::uint32_t size = 8000; size <= 48000; size += 1000) {
                const std::uint32_t exact = std::accumulate(
                    free.begin(), free.end(), 0U, [size](std::uint32_t n, std::uint32_t it) { return n + it / size; });
                error += std::abs(table.places(size) - exact);
                errorOfSum += std::abs(freeCores / size - exact);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(error / errorOfSum), error * 3 <= errorOfSum);
        }
    }

    void division_noCandidate_noShare()
    {
        CPPUNIT_ASSERT(divideTasks(8, {}, {}).empty());
    }

    void division_placesAtOne_whole()
    {
        const auto shares = divideTasks(8, { make("a", 0, 20), make("b", 0, 8), make("far", 25, 30) }, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shares.size());
        CPPUNIT_ASSERT_EQUAL(8U, shares[0].tasks);
    }

    void division_placesAtTwo_divided()
    {
        const auto shares = divideTasks(8, { make("a", 0, 5), make("b", 0, 4) }, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, shares.size());
        CPPUNIT_ASSERT(shares[0].tasks <= 5 && shares[1].tasks <= 4);
    }

    void division_noPlaces_shortestWaitsFilledEvenly()
    {
        const auto shares =
            divideTasks(8, { make("a", 0, 0, 100, 20), make("b", 0, 0, 100, 20), make("full", 0, 0, 900, 20) }, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, shares.size());
        CPPUNIT_ASSERT_EQUAL(4U, shares[0].tasks);
        CPPUNIT_ASSERT_EQUAL(4U, shares[1].tasks);
    }

    void division_smallGain_whole()
    {
        DivisionPolicy policy;
        policy.minGainMs = 10;
        const auto shares = divideTasks(8, { make("a", 0, 7, 0, 5), make("b", 0, 7, 0, 5) }, policy);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shares.size());
    }

    void division_onePartAllowed_bestForAllTasks()
    {
        DivisionPolicy policy;
        policy.maxParts = 1;
        const auto shares = divideTasks(16, { make("near", 0, 1, 900), make("far", 25, 100) }, policy);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, shares.size());
        CPPUNIT_ASSERT_EQUAL(std::string("far"), shares[0].name.value);
    }

    void division_manyCandidates_partsBounded()
    {
        DivisionPolicy policy;
        policy.maxParts = 3;
        std::vector<DivisionCandidate> candidates;
        for (const char *it : { "a", "b", "c", "d", "e", "f" }) {
            candidates.push_back(make(it, 0, 2, 500, 50));
        }
        const auto shares = divideTasks(12, candidates, policy);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, shares.size());
        CPPUNIT_ASSERT_EQUAL(12U, sum(shares));
    }

    void division_randomLoads_neverLaterThanWhole()
    {
        for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
            RandomSource random(seed);
            const auto below = [&random](std::uint64_t limit) { return static_cast<double>(drawBelow(random, limit)); };
            std::vector<DivisionCandidate> candidates;
            const std::size_t n = 1 + drawBelow(random, 6);
            for (std::size_t i = 0; i < n; ++i) {
                candidates.push_back(make(std::string(1, static_cast<char>('a' + i)),
                                          drawBelow(random, 2) == 0 ? 0 : 25,
                                          below(20) - 4,
                                          below(4) == 0 ? 0 : below(400),
                                          1 + below(30)));
            }
            const auto tasks = static_cast<std::uint32_t>(1 + drawBelow(random, 32));
            DivisionPolicy policy;
            policy.maxParts = 1 + drawBelow(random, 4);
            const auto shares = divideTasks(tasks, candidates, policy);
            CPPUNIT_ASSERT_EQUAL(tasks, sum(shares));
            CPPUNIT_ASSERT(shares.size() <= policy.maxParts);
            double whole = std::numeric_limits<double>::infinity();
            double divided = 0;
            for (const DivisionCandidate &it : candidates) {
                whole = std::min(whole, lastStartMs(it, tasks));
                for (const TaskShare &share : shares) {
                    divided = share.name == it.name ? std::max(divided, lastStartMs(it, share.tasks)) : divided;
                }
            }
            CPPUNIT_ASSERT(divided <= whole);
            CPPUNIT_ASSERT(shares.size() == 1 || divided + policy.minGainMs < whole);
        }
    }

private:
    static DivisionCandidate
    make(const std::string &name, double delayMs, double places, double waitMs = 200, double msPerTask = 10)
    {
        return { InstanceName(name), delayMs, waitMs, places, msPerTask };
    }

    static std::uint32_t sum(const std::vector<TaskShare> &shares)
    {
        return std::accumulate(
            shares.begin(), shares.end(), 0U, [](std::uint32_t sum, const TaskShare &it) { return sum + it.tasks; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskDivisionTest);

} // namespace Eelgrasscleat
