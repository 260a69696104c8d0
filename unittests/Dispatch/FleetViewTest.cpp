/// @file
/// Versions of the configuration only increase, the longest path prefix matches, and removed entries of the target list
/// are kept for a grace period.
#include <eelgrasscleat/Dispatch/FleetView.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class FleetViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetViewTest);
    CPPUNIT_TEST(configuration_olderVersion_ignored);
    CPPUNIT_TEST(configuration_twoPrefixes_longestMatches);
    CPPUNIT_TEST(targetList_entryRemoved_keptForGracePeriod);
    CPPUNIT_TEST(targetList_entryReturnsInTime_staysListed);
    CPPUNIT_TEST(targetList_missingFromCompleteList_removed);
    CPPUNIT_TEST(targetList_recordsBeforeListing_ignored);
    CPPUNIT_TEST(targetList_olderListing_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void configuration_olderVersion_ignored()
    {
        ConfigurationView view;
        CPPUNIT_ASSERT(view.apply(makeConfiguration(5, { "/a/" })));
        CPPUNIT_ASSERT(!view.apply(makeConfiguration(5, {})));
        CPPUNIT_ASSERT(!view.apply(makeConfiguration(3, {})));
        CPPUNIT_ASSERT(view.match("host", "/a/1") != nullptr);
        CPPUNIT_ASSERT(view.apply(makeConfiguration(6, {})));
        CPPUNIT_ASSERT(view.match("host", "/a/1") == nullptr);
    }

    void configuration_twoPrefixes_longestMatches()
    {
        ConfigurationView view;
        view.apply(makeConfiguration(1, { "/a/", "/a/b/" }));
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), view.match("host", "/a/b/1")->pathPrefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), view.match("host", "/a/c")->pathPrefix);
        CPPUNIT_ASSERT(view.match("elsewhere", "/a/c") == nullptr);
    }

    void targetList_entryRemoved_keptForGracePeriod()
    {
        TargetList list(kGracePeriod);
        list.set(makeTarget("a"), 1);
        list.entryRemoved(TargetName("a"), 2, m_now);
        CPPUNIT_ASSERT(list.advance(m_now + kGracePeriod - std::chrono::milliseconds(1)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, list.advance(m_now + kGracePeriod).size());
        CPPUNIT_ASSERT(list.targets().empty());
    }

    void targetList_entryReturnsInTime_staysListed()
    {
        TargetList list(kGracePeriod);
        list.set(makeTarget("a"), 1);
        list.entryRemoved(TargetName("a"), 2, m_now);
        CPPUNIT_ASSERT_MESSAGE("the entry has not changed", !list.set(makeTarget("a"), 3));
        CPPUNIT_ASSERT(list.advance(m_now + 2 * kGracePeriod).empty());
    }

    void targetList_missingFromCompleteList_removed()
    {
        TargetList list(kGracePeriod);
        list.set(makeTarget("a"), 1);
        CPPUNIT_ASSERT(list.replace({ 2, { makeTarget("b") } }, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, list.targets().size());
        list.advance(m_now + kGracePeriod);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), list.targets().begin()->first.value);
    }

    void targetList_recordsBeforeListing_ignored()
    {
        TargetList list(kGracePeriod);
        CPPUNIT_ASSERT(list.replace({ 7, { makeTarget("a", 1000) } }, m_now));
        CPPUNIT_ASSERT(!list.set(makeTarget("a", 2000), 6));
        CPPUNIT_ASSERT(!list.set(makeTarget("removed"), 7));
        list.entryRemoved(TargetName("a"), 7, m_now);
        CPPUNIT_ASSERT(list.advance(m_now + kGracePeriod).empty());
        CPPUNIT_ASSERT_EQUAL(1000U, list.targets().at(TargetName("a")).capacity.milliCores);
        CPPUNIT_ASSERT(list.set(makeTarget("a", 2000), 8));
    }

    void targetList_olderListing_ignored()
    {
        TargetList list(kGracePeriod);
        list.set(makeTarget("a", 1000), 7);
        CPPUNIT_ASSERT(!list.replace({ 6, { makeTarget("a", 2000) } }, m_now));
        CPPUNIT_ASSERT_EQUAL(1000U, list.targets().at(TargetName("a")).capacity.milliCores);
        CPPUNIT_ASSERT_MESSAGE("its entries may be newer", list.replace({ 7, { makeTarget("a", 2000) } }, m_now));
        CPPUNIT_ASSERT_EQUAL(2000U, list.targets().at(TargetName("a")).capacity.milliCores);
    }

private:
    static constexpr Duration kGracePeriod = std::chrono::milliseconds(2500);

    static FleetConfiguration makeConfiguration(std::uint64_t version, const std::vector<std::string> &prefixes)
    {
        FleetConfiguration configuration;
        configuration.version = ConfigVersion(version);
        for (const std::string &it : prefixes) {
            FleetRoute route;
            route.host = "host";
            route.pathPrefix = it;
            configuration.routes.push_back(route);
        }
        return configuration;
    }

    static DispatchTarget makeTarget(const std::string &name, std::uint32_t milliCores = 0)
    {
        DispatchTarget target;
        target.name = TargetName(name);
        target.capacity.milliCores = milliCores;
        return target;
    }

    Instant m_now { std::chrono::seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

} // namespace Eelgrasscleat
