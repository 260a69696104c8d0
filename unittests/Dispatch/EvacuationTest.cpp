/// @file
/// Evacuation of a zone: views of the operator's requests that arrive late, repeatedly and out of order, and what
/// callers get while a zone under load is evacuated and taken back.
#include "LoadedZone.h"

#include <eelgrasscleat/Dispatch/EvacuationView.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Eelgrasscleat
{

class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(view_anyOrderOfMessages_latestStateWins);
    CPPUNIT_TEST(view_ownZoneEvacuatedAgain_graceStartsAnew);
    CPPUNIT_TEST(view_listRepeated_graceUnchanged);
    CPPUNIT_TEST(evacuation_underLoad_noStartAfterGrace);
    CPPUNIT_TEST(evacuation_underLoad_begunJobsEndWell);
    CPPUNIT_TEST(evacuation_waitingJobs_refusedAtOnce);
    CPPUNIT_TEST(evacuation_startUnanswered_notRepeatedAfterGrace);
    CPPUNIT_TEST(evacuation_tasksLeftAfterGrace_jobAbandonedAtOnce);
    CPPUNIT_TEST(evacuation_endsWithSlowTargets_jobsInTimeAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void view_anyOrderOfMessages_latestStateWins()
    {
        // Records are delivered in order, but lists of the platform and views of peers come at any time, and old.
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            RandomSource random(seed);
            std::vector<EvacuatedZones> history { { 1, {} } };
            std::vector<std::pair<ZoneName, bool>> records { { ZoneName(), false } };
            for (std::uint64_t version = 2; version <= 30; ++version) {
                EvacuatedZones next = history.back();
                next.version = version;
                const ZoneName zone(std::string(1, static_cast<char>('a' + drawBelow(random, 3))));
                const bool evacuated = next.zones.count(zone) == 0;
                evacuated ? (void)next.zones.insert(zone) : (void)next.zones.erase(zone);
                records.emplace_back(zone, evacuated);
                history.push_back(next);
            }
            EvacuationView view(ZoneName("a"), kGrace);
            std::size_t read = 0; // Records delivered so far.
            Instant now(std::chrono::seconds(1));
            while (read + 1 < history.size()) {
                now += std::chrono::milliseconds(10);
                const std::uint64_t before = view.current().version;
                if (drawBelow(random, 3) == 0) {
                    view.replace(history[drawBelow(random, history.size())], now);
                } else {
                    ++read;
                    view.change(records[read].first, records[read].second, read + 1, now);
                }
                CPPUNIT_ASSERT(view.current().version >= before);
                CPPUNIT_ASSERT(view.current() == history[view.current().version - 1]);
            }
            CPPUNIT_ASSERT(view.current() == history.back());
        }
    }

    void view_ownZoneEvacuatedAgain_graceStartsAnew()
    {
        EvacuationView view(ZoneName("a"), kGrace);
        const Instant first(std::chrono::seconds(1));
        CPPUNIT_ASSERT(view.change(ZoneName("a"), true, 2, first));
        CPPUNIT_ASSERT(view.isOwnZoneEvacuated());
        CPPUNIT_ASSERT(view.lastStartAt() == first + kGrace);
        CPPUNIT_ASSERT(view.change(ZoneName("a"), false, 3, first + std::chrono::seconds(2)));
        CPPUNIT_ASSERT(!view.isOwnZoneEvacuated());
        const Instant second = first + std::chrono::seconds(4);
        CPPUNIT_ASSERT(view.change(ZoneName("a"), true, 4, second));
        CPPUNIT_ASSERT(view.lastStartAt() == second + kGrace);
    }

    void view_listRepeated_graceUnchanged()
    {
        EvacuationView view(ZoneName("a"), kGrace);
        const Instant first(std::chrono::seconds(1));
        view.change(ZoneName("a"), true, 2, first);
        // Another zone follows, and the platform's list is read anew.
        CPPUNIT_ASSERT(view.replace({ 5, { ZoneName("a"), ZoneName("b") } }, first + std::chrono::seconds(1)));
        CPPUNIT_ASSERT(!view.replace({ 9, { ZoneName("a"), ZoneName("b") } }, first + std::chrono::seconds(3)));
        CPPUNIT_ASSERT(view.lastStartAt() == first + kGrace);
    }

    void evacuation_underLoad_noStartAfterGrace()
    {
        for (const NetworkFaults faults : { NetworkFaults {}, NetworkFaults { 0.05, 0.05, 0 } }) {
            LoadedZone zone(21);
            zone.fleet.faults = faults;
            submitMixedLoad(zone, 1.2, 6);
            zone.run(std::chrono::seconds(2));
            zone.dispatcher.evacuate(zone.queue.now() + kGrace, zone.queue.now());
            zone.queue.runUntil(zone.queue.now() + kGrace + std::chrono::milliseconds(1));
            const int starts = zone.decisions["start"];
            const int repeated = zone.decisions["start_repeated"];
            zone.run(std::chrono::seconds(5));
            CPPUNIT_ASSERT_EQUAL(starts, zone.decisions["start"]);
            CPPUNIT_ASSERT_EQUAL(repeated, zone.decisions["start_repeated"]);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, zone.dispatcher.load().targets);
            CPPUNIT_ASSERT(zone.fleet.violations().empty());
        }
    }

    void evacuation_underLoad_begunJobsEndWell()
    {
        LoadedZone zone(22);
        submitMixedLoad(zone, 0.6, 2);
        zone.run(std::chrono::seconds(2));
        int submitted = 0;
        for (const auto &it : zone.tallies) {
            submitted += it.second.submitted;
        }
        zone.dispatcher.evacuate(zone.queue.now() + kGrace, zone.queue.now());
        zone.run(std::chrono::seconds(4));
        int answered = 0;
        for (const auto &it : zone.tallies) {
            answered += it.second.complete + it.second.refused;
        }
        // Below full load tasks wait for less than the grace period.
        CPPUNIT_ASSERT_EQUAL(submitted, answered);
        CPPUNIT_ASSERT(zone.dispatcher.isDrained());
    }

    void evacuation_waitingJobs_refusedAtOnce()
    {
        LoadedZone zone(23);
        submitMixedLoad(zone, 2, 4);
        zone.run(std::chrono::seconds(2));
        const int before = refusals(zone);
        zone.dispatcher.evacuate(zone.queue.now() + kGrace, zone.queue.now());
        CPPUNIT_ASSERT_MESSAGE("waiting jobs are refused at the moment of the evacuation", refusals(zone) > before);
        const int waiting = refusals(zone);
        const int submitted = submissions(zone);
        zone.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("later jobs, too", submissions(zone) - submitted, refusals(zone) - waiting);
    }

    void evacuation_startUnanswered_notRepeatedAfterGrace()
    {
        for (const bool isEvacuated : { false, true }) {
            LoadedZone zone(24);
            submitMixedLoad(zone, 0.6, 3);
            zone.run(std::chrono::seconds(1));
            zone.fleet.faults.lostCommands = 1;
            zone.queue.runUntil(zone.queue.now() + std::chrono::milliseconds(25));
            const int repeated = zone.decisions["start_repeated"];
            if (isEvacuated) {
                zone.dispatcher.evacuate(zone.queue.now(), zone.queue.now());
            }
            zone.run(std::chrono::seconds(1));
            CPPUNIT_ASSERT_EQUAL(isEvacuated, zone.decisions["start_repeated"] == repeated);
        }
    }

    void evacuation_tasksLeftAfterGrace_jobAbandonedAtOnce()
    {
        // Jobs of more tasks than the zone has places.
        const JobType kHuge { 0, 60, std::chrono::milliseconds(300), 3 };
        LoadedZone zone(25);
        zone.submitLoad(kHuge, 1, std::chrono::seconds(2));
        zone.run(std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(0, zone.tallies[0].abandoned);
        zone.dispatcher.evacuate(zone.queue.now(), zone.queue.now());
        zone.queue.runUntil(zone.queue.now() + std::chrono::milliseconds(41));
        CPPUNIT_ASSERT(zone.tallies[0].abandoned > 0);
        const int starts = zone.decisions["start"];
        zone.run(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(starts, zone.decisions["start"]);
        CPPUNIT_ASSERT(zone.dispatcher.isDrained());
    }

    void evacuation_endsWithSlowTargets_jobsInTimeAgain()
    {
        LoadedZone zone(26);
        submitMixedLoad(zone, 0.3, 30);
        zone.run(std::chrono::seconds(8));
        zone.dispatcher.evacuate(zone.queue.now() + kGrace, zone.queue.now());
        zone.run(std::chrono::seconds(3));
        for (FakeTarget &it : zone.fleet.targets) {
            it.slowDown(1.25);
        }
        zone.dispatcher.endEvacuation();
        zone.run(std::chrono::seconds(4));
        zone.tallies.clear();
        zone.run(std::chrono::seconds(15));
        for (const std::uint32_t priority : { 0U, 1U }) {
            const LoadedZone::Tally &tally = zone.tallies[priority];
            CPPUNIT_ASSERT(tally.submitted > 0);
            CPPUNIT_ASSERT(tally.inTime * 10 >= tally.submitted * 9);
        }
        CPPUNIT_ASSERT(zone.fleet.violations().empty());
    }

private:
    static constexpr Duration kGrace = std::chrono::milliseconds(700);

    static void submitMixedLoad(LoadedZone &zone, double factor, int seconds)
    {
        for (const JobType &it : { kUrgentWide, kShort, kLong }) {
            zone.submitLoad(it, factor, std::chrono::seconds(seconds));
        }
    }

    static int refusals(const LoadedZone &zone)
    {
        int sum = 0;
        for (const auto &it : zone.tallies) {
            sum += it.second.refused;
        }
        return sum;
    }

    static int submissions(const LoadedZone &zone)
    {
        int sum = 0;
        for (const auto &it : zone.tallies) {
            sum += it.second.submitted;
        }
        return sum;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace Eelgrasscleat
