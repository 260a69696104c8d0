/// @file
/// Tests TargetPresence: a stale or empty list neither removes live targets nor keeps a leaving target in use.
#include <eelgrasscleat/Membership/TargetPresence.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetPresenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetPresenceTest);
    CPPUNIT_TEST(list_empty_nobodyLeaves);
    CPPUNIT_TEST(list_leaving_believedAndToldOnce);
    CPPUNIT_TEST(list_mostlyMissing_leavingBelievedLiveNot);
    CPPUNIT_TEST(list_staleLiveAfterLeaving_staysLeaving);
    CPPUNIT_TEST(refusal_listStillLive_outweighsForMemory);
    CPPUNIT_TEST(report_listStillLive_outweighsAndIsNotPassedOn);
    CPPUNIT_TEST(task_startedAfterRefusal_clearsIt);
    CPPUNIT_TEST(task_startedBeforeRefusal_keepsIt);
    CPPUNIT_TEST(config_draining_alwaysLeaving);
    CPPUNIT_TEST(config_removed_forgotten);
    CPPUNIT_TEST(schedules_laggingLists_leaverGetsNothingAfter3s);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_presence.setConfigured(m_all, {});
    }

    void list_empty_nobodyLeaves()
    {
        m_presence.applyListing({}, m_now);
        CPPUNIT_ASSERT(m_presence.takeChanges(m_now).empty());
    }

    void list_leaving_believedAndToldOnce()
    {
        m_presence.applyListing(listing(3), m_now);
        const auto changes = m_presence.takeChanges(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(changes[0].target == target(3) && changes[0].leaving);
        CPPUNIT_ASSERT(m_presence.takeChanges(m_now).empty());
    }

    void list_mostlyMissing_leavingBelievedLiveNot()
    {
        m_presence.applyListing(listing(3), m_now);
        m_now += seconds(60);
        InstanceListing partial;
        partial.live = { target(1), target(2), target(3) };
        partial.leaving = { target(4) };
        m_presence.applyListing(partial, m_now);
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now));
        CPPUNIT_ASSERT(m_presence.isLeaving(target(4), m_now));
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(5), m_now));
        m_presence.applyListing(listing(0), m_now);
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(3), m_now));
    }

    void list_staleLiveAfterLeaving_staysLeaving()
    {
        m_presence.applyListing(listing(3), m_now);
        m_presence.applyListing(listing(0), m_now + seconds(1));
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now + seconds(1)));
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(3), m_now + seconds(30)));
    }

    void refusal_listStillLive_outweighsForMemory()
    {
        m_presence.recordRefusal(target(3), m_now);
        m_presence.applyListing(listing(0), m_now);
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now + milliseconds(29999)));
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(3), m_now + seconds(30)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_presence.recentRefusals(m_now).size());
        CPPUNIT_ASSERT(m_presence.recentRefusals(m_now + seconds(30)).empty());
    }

    void report_listStillLive_outweighsAndIsNotPassedOn()
    {
        m_presence.recordPeerReport(target(3), m_now);
        m_presence.applyListing(listing(0), m_now);
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now));
        CPPUNIT_ASSERT(m_presence.recentRefusals(m_now).empty());
    }

    void task_startedAfterRefusal_clearsIt()
    {
        m_presence.recordRefusal(target(3), m_now);
        m_presence.recordPeerReport(target(3), m_now);
        m_presence.recordTaskRun(target(3), m_now + seconds(1));
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(3), m_now + seconds(1)));
    }

    void task_startedBeforeRefusal_keepsIt()
    {
        m_presence.recordRefusal(target(3), m_now);
        m_presence.recordTaskRun(target(3), m_now - seconds(1));
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now));
    }

    void config_draining_alwaysLeaving()
    {
        m_presence.setConfigured(m_all, { target(3) });
        m_presence.applyListing(listing(0), m_now);
        m_presence.recordTaskRun(target(3), m_now + seconds(1));
        CPPUNIT_ASSERT(m_presence.isLeaving(target(3), m_now + seconds(90)));
    }

    void config_removed_forgotten()
    {
        m_presence.recordRefusal(target(3), m_now);
        m_presence.setConfigured({ target(1) }, {});
        m_presence.recordRefusal(target(3), m_now);
        CPPUNIT_ASSERT(!m_presence.isLeaving(target(3), m_now));
        CPPUNIT_ASSERT(m_presence.recentRefusals(m_now).empty());
    }

    /// Lists of random age, empty ones and failed reads. The 3 s count from the first list that shows the leaver.
    void schedules_laggingLists_leaverGetsNothingAfter3s()
    {
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            const std::string failure = runSchedule(seed);
            CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
        }
    }

private:
    static constexpr std::uint64_t TargetCount = 9;
    static constexpr Duration Memory = seconds(30);
    static constexpr Duration StepLength = milliseconds(500);

    static TargetName target(std::uint64_t n)
    {
        return TargetName("target-" + std::to_string(n));
    }

    /// @returns a list of all targets with one leaving; 0 for none.
    static InstanceListing listing(std::uint64_t leaver)
    {
        InstanceListing listing;
        for (std::uint64_t i = 1; i <= TargetCount; ++i) {
            (i == leaver ? listing.leaving : listing.live).insert(target(i));
        }
        return listing;
    }

    std::string runSchedule(std::uint64_t seed)
    {
        RandomSource random(seed);
        TargetPresence presence(Memory);
        presence.setConfigured(m_all, {});
        const std::uint64_t leaver = 1 + drawBelow(random, TargetCount);
        const Instant leavesAt = m_now + seconds(drawBelow(random, 20));
        std::optional<Instant> knownAt;
        std::string schedule = "seed " + std::to_string(seed) + ", leaver " + std::to_string(leaver);
        for (Instant now = m_now; now < leavesAt + seconds(90); now += StepLength) {
            const std::uint64_t kind = drawBelow(random, 8);
            schedule += " " + std::to_string(kind);
            // Lists lag by up to 20 s and are not read in order.
            const Instant listedAt = now - seconds(drawBelow(random, 20));
            const bool showsLeaver = listedAt >= leavesAt;
            if (kind == 0) {
                presence.applyListing({}, now);
            } else if (kind < 6) {
                presence.applyListing(listing(showsLeaver ? leaver : 0), now);
                knownAt = showsLeaver && !knownAt ? now : knownAt;
            } else if (kind == 6 && now >= leavesAt) {
                presence.recordRefusal(target(leaver), now);
                knownAt = knownAt ? knownAt : now;
            }
            presence.takeChanges(now);
            const bool isOverdue = knownAt && now - *knownAt >= seconds(3);
            if (isOverdue && !presence.isLeaving(target(leaver), now)) {
                return schedule + ": the leaver would get work";
            }
            for (std::uint64_t i = 1; i <= TargetCount; ++i) {
                if (i != leaver && presence.isLeaving(target(i), now)) {
                    return schedule + ": a live target is kept out";
                }
            }
        }
        return {};
    }

    Instant m_now { seconds(1000) };
    std::set<TargetName> m_all { target(1), target(2), target(3), target(4), target(5),
                                 target(6), target(7), target(8), target(9) };
    TargetPresence m_presence { Memory };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPresenceTest);

} // namespace Eelgrasscleat
