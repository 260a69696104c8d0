/// @file
/// The client of the store against the stand-in: nothing is missed over gaps and outages, nothing is asked without end.
#include "StoreClient.h"
#include "StoreStandIn.h"

#include "../Wire/EventLoop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat::PlatformAdapter
{

class StoreClientTest : public CppUnit::TestFixture, public StoreEventHandler
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(start_configurationThere_read);
    CPPUNIT_TEST(write_afterStart_read);
    CPPUNIT_TEST(forget_whileAway_listedAgain);
    CPPUNIT_TEST(store_refusesThenServes_lostThenRegained);
    CPPUNIT_TEST(evacuation_beforeStart_listed);
    CPPUNIT_TEST(evacuation_writtenAndDropped_reportedInOrder);
    CPPUNIT_TEST(evacuation_droppedWhileAway_listedAgain);
    CPPUNIT_TEST(evacuation_oddZone_rejected);
    CPPUNIT_TEST(target_damagedEntry_rejectedOthersRead);
    CPPUNIT_TEST(target_otherZone_notReported);
    CPPUNIT_TEST(target_damagedLater_removed);
    CPPUNIT_TEST(target_zoneSpelledOtherwise_reported);
    CPPUNIT_TEST(target_keyWithMarkEndsPage_laterPagesRead);
    CPPUNIT_TEST(target_listingThatNeverAdvances_endsWithRejection);
    CPPUNIT_TEST(target_oddEntriesAmongOthers_followingGoesOn);
    CPPUNIT_TEST(configuration_oddRouteAndOddRecord_followingGoesOn);
    CPPUNIT_TEST(instance_oddEntriesAmongOthers_followingGoesOn);
    CPPUNIT_TEST(crash_oddEntriesAmongOthers_followingGoesOn);
    CPPUNIT_TEST(membership_oddRows_skippedAndCounted);
    CPPUNIT_TEST(targetList_readForPeer_onlyItsZone);
    CPPUNIT_TEST(targetList_askedForWhileRead_readAgainOnce);
    CPPUNIT_TEST(targetList_storeRefusesBoth_errorWithoutCall);
    CPPUNIT_TEST(membership_partitionsListed_areShards);
    CPPUNIT_TEST(membership_storeSilent_errorInTime);
    CPPUNIT_TEST(announce_storeRefuses_writtenLater);
    CPPUNIT_TEST(crash_published_readByPresentAndLaterOwners);
    CPPUNIT_TEST(crash_storeRefuses_publishedLater);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        m_stand = std::make_unique<StoreStandIn>();
        NodeFile file;
        file.node.self = { InstanceName("front-1"), ZoneName("zone"), "127.0.0.1", 7720 };
        file.store = { "127.0.0.1", m_stand->port };
        file.storePartitions = 16;
        m_client = std::make_unique<StoreClient>(file, *this, 1);
    }

    void tearDown() override
    {
        m_client.reset();
        m_stand.reset();
    }

    void start_configurationThere_read()
    {
        writeConfiguration(3);
        m_client->start();
        EventLoop::waitFor([this] { return m_version == 3; });
    }

    void write_afterStart_read()
    {
        m_client->start();
        EventLoop::waitFor([this] { return m_stand->lists >= 2; });
        writeConfiguration(4);
        EventLoop::waitFor([this] { return m_version == 4; });
    }

    void forget_whileAway_listedAgain()
    {
        writeConfiguration(3);
        m_client->start();
        EventLoop::waitFor([this] { return m_version == 3; });
        m_stand->refuses = true;
        writeConfiguration(5);
        m_stand->forget("keyed.op");
        m_stand->refuses = false;
        EventLoop::waitFor([this] { return m_version == 5; });
    }

    void store_refusesThenServes_lostThenRegained()
    {
        m_stand->refuses = true;
        m_client->start();
        EventLoop::waitFor([this] { return m_lost == 1; });
        writeConfiguration(6);
        m_stand->refuses = false;
        EventLoop::waitFor([this] { return m_version == 6 && m_regained == 1; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one event for each change", 1, m_lost);
    }

    void evacuation_beforeStart_listed()
    {
        m_stand->write("keyed.op", { "evacuate/zone", "{}" });
        writeConfiguration(3);
        m_client->start();
        EventLoop::waitFor([this] { return m_version == 3; });
        CPPUNIT_ASSERT(m_evacuated.zones == std::set<ZoneName> { ZoneName("zone") });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, m_evacuated.version);
    }

    void evacuation_writtenAndDropped_reportedInOrder()
    {
        m_client->start();
        EventLoop::waitFor([this] { return m_stand->lists >= 2; });
        m_stand->write("keyed.op", { "evacuate/zone", "{}" });
        EventLoop::waitFor([this] { return m_evacuated.zones.size() == 1; });
        const std::uint64_t version = m_evacuated.version;
        m_stand->write("keyed.op", { "evacuate/zone", std::nullopt });
        EventLoop::waitFor([this] { return m_evacuated.zones.empty(); });
        CPPUNIT_ASSERT(m_evacuated.version > version);
    }

    void evacuation_droppedWhileAway_listedAgain()
    {
        m_stand->write("keyed.op", { "evacuate/zone", "{}" });
        m_client->start();
        EventLoop::waitFor([this] { return m_evacuated.zones.size() == 1; });
        m_stand->refuses = true;
        m_stand->write("keyed.op", { "evacuate/zone", std::nullopt });
        m_stand->forget("keyed.op");
        m_stand->refuses = false;
        EventLoop::waitFor([this] { return m_evacuated.zones.empty(); });
    }

    void evacuation_oddZone_rejected()
    {
        for (const char *it : { "evacuate/", "evacuate/a\nb" }) {
            m_stand->write("keyed.op", { it, "{}" });
        }
        m_client->start();
        EventLoop::waitFor([this] { return m_rejected == 2; });
        m_stand->write("keyed.op", { "evacuate/\xff", "{}" });
        m_stand->write("keyed.op", { "evacuate/zone", "{}" });
        EventLoop::waitFor([this] { return m_evacuated.zones.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(3, m_rejected);
    }

    void target_damagedEntry_rejectedOthersRead()
    {
        m_stand->write("keyed.servers", { "i-1", QByteArray("\xff not JSON") });
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_listed.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), m_listed.front().name.value);
        CPPUNIT_ASSERT_EQUAL(1, m_rejected);
    }

    void target_otherZone_notReported()
    {
        m_stand->write("keyed.servers", { "i-1", targetEntry("other") });
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return !m_listed.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_listed.size());
        m_stand->write("keyed.servers", { "i-1", targetEntry("other") });
        m_stand->write("keyed.servers", { "i-3", targetEntry() });
        EventLoop::waitFor([this] { return !m_updated.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("i-3"), m_updated.front().value);
        CPPUNIT_ASSERT(m_removed.empty());
    }

    void target_damagedLater_removed()
    {
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return !m_listed.empty(); });
        m_stand->write("keyed.servers", { "i-2", QByteArray("\xff not JSON") });
        EventLoop::waitFor([this] { return m_removed.size() == 1; });
        m_stand->write("keyed.servers", { "i-2", targetEntry("other") });
        EventLoop::waitFor([this] { return m_removed.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), m_removed.back().value);
        m_stand->write("keyed.servers", { "i-2", targetEntry("other") });
        m_stand->write("keyed.servers", { "i-3", targetEntry() });
        EventLoop::waitFor([this] { return !m_updated.empty(); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it is removed once", std::size_t { 2 }, m_removed.size());
    }

    void target_zoneSpelledOtherwise_reported()
    {
        QByteArray spaced = targetEntry();
        spaced.replace("\"zone\":", "\"zone\" :\t ");
        QByteArray escaped = targetEntry();
        escaped.replace(":\"zone\"", ":\"\\u007aone\"");
        m_stand->write("keyed.servers", { "i-1", spaced });
        m_stand->write("keyed.servers", { "i-2", escaped });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return !m_listed.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_listed.size());
    }

    /// Guards against a listing that goes round in circles when a page ends with a key that begins with a byte order
    /// mark.
    void target_keyWithMarkEndsPage_laterPagesRead()
    {
        const std::string mark = "\xef\xbb\xbf";
        for (const std::string &it : { std::string("i-2"), mark + "i-1", mark + "i-3" }) {
            m_stand->write("keyed.servers", { it, targetEntry() });
        }
        m_stand->itemsOfPage = 1;
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return !m_listed.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, m_listed.size());
        CPPUNIT_ASSERT_EQUAL(mark + "i-3", m_listed.back().name.value);
    }

    void target_listingThatNeverAdvances_endsWithRejection()
    {
        m_stand->write("keyed.servers", { "i-1", targetEntry() });
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        m_stand->itemsOfPage = 1;
        m_stand->ignoresAfter = true;
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return !m_listed.empty(); });
        CPPUNIT_ASSERT_EQUAL(1, m_rejected);
    }

    void target_oddEntriesAmongOthers_followingGoesOn()
    {
        writeOdd("keyed.servers");
        m_stand->write("keyed.servers", { "i-1", targetEntry() });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_listed.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(kOddRecords, m_rejected);
        writeOdd("keyed.servers");
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        EventLoop::waitFor([this] { return m_updated.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(2 * kOddRecords, m_rejected);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the store stays reachable", 0, m_lost);
    }

    void configuration_oddRouteAndOddRecord_followingGoesOn()
    {
        writeConfiguration(3);
        m_client->start();
        EventLoop::waitFor([this] { return m_version == 3; });
        m_stand->write("keyed.op", { "config", deeplyNested() });
        m_stand->write("keyed.op",
                       { "config", R"({"version":4,"routes":[{"name":7}],"limits":{"max-body-bytes":0}})" });
        EventLoop::waitFor([this] { return m_version == 4; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the record, the route and the limit", 3, m_rejected);
        writeConfiguration(5);
        EventLoop::waitFor([this] { return m_version == 5; });
    }

    void instance_oddEntriesAmongOthers_followingGoesOn()
    {
        writeOdd("keyed.instances");
        m_client->start();
        EventLoop::waitFor([this] { return m_rejected == kOddRecords; });
        writeOdd("keyed.instances");
        m_client->registerInstance({ InstanceName("front-1"), ZoneName("zone"), "127.0.0.1", 7720 });
        EventLoop::waitFor([this] { return m_instances == 1; });
        CPPUNIT_ASSERT_EQUAL(0, m_lost);
    }

    void crash_oddEntriesAmongOthers_followingGoesOn()
    {
        writeOdd("keyed.crashes");
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_rejected == kOddRecords; });
        writeOdd("keyed.crashes");
        m_client->publishCrash({ { TargetName("i-1"), 1 }, {} });
        EventLoop::waitFor([this] { return m_crashes.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(0, m_lost);
    }

    void membership_oddRows_skippedAndCounted()
    {
        m_stand->groupAnswer =
            R"({"generation":7,"parts":[["zone.zone",3,0],7,[],["zone.zone","x",0],["zone.zone",-1,0],
            ["zone.zone",16,0],["zone.zone",1e300,0],["zone.zone",0.5,0],["zone.other",4,0],[["zone.zone"],4,0],
            null,{},"x",true,["zone.zone",3,0],["zone.zone"]]})";
        const auto answer = renew();
        const auto &membership = std::get<MembershipAnswer>(answer);
        CPPUNIT_ASSERT((membership.shards == std::set<ShardNumber> { 3 }));
        CPPUNIT_ASSERT_MESSAGE("only shards of the zone count", !membership.isSoleOwner);
        CPPUNIT_ASSERT_EQUAL(14, m_rejected);
    }

    void targetList_readForPeer_onlyItsZone()
    {
        m_stand->write("keyed.servers", { "i-1", targetEntry("other") });
        m_stand->write("keyed.servers", { "i-2", targetEntry() });
        m_stand->write("keyed.servers", { "i-3", QByteArray("\xff not JSON") });
        m_client->readTargets(ZoneName("other"), [this](const auto &result) { m_read.push_back(result); });
        EventLoop::waitFor([this] { return m_read.size() == 1; });
        const auto &listing = std::get<TargetListing>(m_read[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, listing.targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), listing.targets[0].name.value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, listing.version);
    }

    void targetList_askedForWhileRead_readAgainOnce()
    {
        m_stand->write("keyed.servers", { "i-1", targetEntry("other") });
        for (const char *it : { "other", "zone", "other" }) {
            m_client->readTargets(ZoneName(it), [this](const auto &result) { m_read.push_back(result); });
        }
        EventLoop::waitFor([this] { return m_read.size() == 3; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("one for the first, one for the others", 2, m_stand->lists);
        CPPUNIT_ASSERT(std::get<TargetListing>(m_read[1]).targets.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, std::get<TargetListing>(m_read[2]).targets.size());
    }

    void targetList_storeRefusesBoth_errorWithoutCall()
    {
        m_stand->refuses = true;
        m_client->readTargets(ZoneName("other"), [this](const auto &result) { m_read.push_back(result); });
        EventLoop::waitFor([this] { return m_read.size() == 1; });
        CPPUNIT_ASSERT(!isOk(m_read[0]));
        m_client->start();
        EventLoop::waitFor([this] { return m_lost == 1; });
        m_client->readTargets(ZoneName("other"), [this](const auto &result) { m_read.push_back(result); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("answered at once", std::size_t { 2 }, m_read.size());
        CPPUNIT_ASSERT(!isOk(m_read[1]));
    }

    void membership_partitionsListed_areShards()
    {
        m_stand->groupAnswer = R"({"generation":7,"ttl-ms":1200,"parts":[["zone.zone",3,0],["zone.zone",0,5]]})";
        const auto answer = renew();
        const auto &membership = std::get<MembershipAnswer>(answer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, membership.generation);
        CPPUNIT_ASSERT((membership.shards == std::set<ShardNumber> { 0, 3 }));
        CPPUNIT_ASSERT(!membership.isSoleOwner);
        CPPUNIT_ASSERT(m_stand->groupCalls.front().find("front-1") != std::string::npos);
    }

    void membership_storeSilent_errorInTime()
    {
        m_stand->silent = true;
        const auto answer = renew();
        CPPUNIT_ASSERT(std::get<Error>(answer).code == ErrorCode::Lost);
        CPPUNIT_ASSERT(std::get<Error>(answer).step == Step::Claim);
    }

    void announce_storeRefuses_writtenLater()
    {
        m_stand->refuses = true;
        m_client->registerInstance({ InstanceName("front-1"), ZoneName("zone"), "127.0.0.1", 7720 });
        m_client->start();
        EventLoop::waitFor([this] { return m_lost == 1; });
        m_stand->refuses = false;
        EventLoop::waitFor([this] { return m_instances == 1; });
    }

    void crash_published_readByPresentAndLaterOwners()
    {
        const TargetCrash crash { { TargetName("i-1"), 1700000000123 },
                                  { { { JobId("5c0e7a21d94b36f8"), 0, 17 }, true, true } } };
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_stand->lists >= 2; });
        m_client->publishCrash(crash);
        EventLoop::waitFor([this] { return m_crashes.size() == 1; });
        CPPUNIT_ASSERT(m_crashes[0] == crash);
        m_client->watchTargets(false);
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_crashes.size() == 2; });
        CPPUNIT_ASSERT(m_crashes[1] == crash);
        m_client->withdrawCrash(crash.target);
        EventLoop::waitFor([this] { return m_withdrawn.size() == 1; });
        CPPUNIT_ASSERT(m_withdrawn[0] == crash.target);
    }

    void crash_storeRefuses_publishedLater()
    {
        m_stand->refuses = true;
        m_client->publishCrash({ { TargetName("i-1"), 1 }, {} });
        m_client->watchTargets(true);
        EventLoop::waitFor([this] { return m_lost == 1; });
        m_stand->refuses = false;
        EventLoop::waitFor([this] { return !m_crashes.empty(); });
    }

private:
    void configurationReceived(FleetConfiguration configuration) override
    {
        m_version = configuration.version.value;
    }
    void evacuationsListed(EvacuatedZones zones) override
    {
        m_evacuated = std::move(zones);
    }
    void evacuationChanged(const ZoneName &zone, bool evacuated, std::uint64_t version) override
    {
        evacuated ? (void)m_evacuated.zones.insert(zone) : (void)m_evacuated.zones.erase(zone);
        m_evacuated.version = version;
    }
    void targetUpdated(const DispatchTarget &target, std::uint64_t) override
    {
        m_updated.push_back(target.name);
    }
    void targetRemoved(const TargetName &target, std::uint64_t) override
    {
        m_removed.push_back(target);
    }
    void targetListReceived(const TargetListing &listing) override
    {
        m_listed = listing.targets;
    }
    void targetListConfirmed() override
    {
        ++m_confirmed;
    }
    void crashPublished(const TargetCrash &crash) override
    {
        m_crashes.push_back(crash);
    }
    void crashWithdrawn(const TargetLife &target) override
    {
        m_withdrawn.push_back(target);
    }
    void instanceUpdated(const InstanceRegistration &) override
    {
        ++m_instances;
    }
    void instanceRemoved(const InstanceName &) override
    {
    }
    void recordRejected(const Error &) override
    {
        ++m_rejected;
    }
    void storeReachabilityChanged(bool reachable, const std::string &) override
    {
        ++(reachable ? m_regained : m_lost);
    }

    void writeConfiguration(int version)
    {
        const QByteArray value = "{\"version\":" + QByteArray::number(version) + R"(,"routes":[],"limits":{}})";
        m_stand->write("keyed.op", { "config", value });
    }

    static QByteArray deeplyNested()
    {
        constexpr int kDepth = 20000;
        return QByteArray("{\"a\":").repeated(kDepth) + "1" + QByteArray("}").repeated(kDepth);
    }

    static constexpr int kOddRecords = 4;

    void writeOdd(const std::string &topic)
    {
        m_stand->write(topic, { "1/odd-1", deeplyNested() });
        m_stand->write(topic, { "1/odd-2", QByteArray("\xff\x00 not JSON", 11) });
        m_stand->write(topic, { "1/odd-3", R"({"zone":"zone","port":70000,"addr":"127.0.0.1:70000","tasks":7})" });
        m_stand->write(topic, { "1/odd-4", R"({"zone":"zone","capacity":{"cpu":1e300},"tasks":[[1e300]]})" });
    }

    static QByteArray targetEntry(const QByteArray &zone = "zone")
    {
        return R"({"service":"s","addr":"127.0.0.1:1","zone":")" + zone + R"(","state":"ready",
            "capacity":{"cpu":1000,"mem-mb":64},"labels":[],"born":1700000000123})";
    }

    Result<MembershipAnswer> renew()
    {
        std::optional<Result<MembershipAnswer>> answer;
        m_client->renewMembership(0, std::chrono::milliseconds(200), [&answer](Result<MembershipAnswer> result) {
            answer = std::move(result);
        });
        EventLoop::waitFor([&answer] { return answer.has_value(); });
        return *answer;
    }

    std::unique_ptr<StoreStandIn> m_stand;
    std::unique_ptr<StoreClient> m_client;
    std::uint64_t m_version = 0;
    EvacuatedZones m_evacuated;
    std::vector<DispatchTarget> m_listed;
    std::vector<Result<TargetListing>> m_read;
    std::vector<TargetName> m_updated;
    std::vector<TargetName> m_removed;
    std::vector<TargetCrash> m_crashes;
    std::vector<TargetLife> m_withdrawn;
    int m_rejected = 0;
    int m_confirmed = 0;
    int m_instances = 0;
    int m_lost = 0;
    int m_regained = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace Eelgrasscleat::PlatformAdapter
