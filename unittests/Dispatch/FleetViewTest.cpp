/// @file
/// Versions never go back, the longest prefix wins, and entries that lapse are kept for a while.
#include <eelgrasscleat/Dispatch/FleetView.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class FleetViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetViewTest);
    CPPUNIT_TEST(configuration_olderVersion_ignored);
    CPPUNIT_TEST(configuration_twoPrefixes_longestMatches);
    CPPUNIT_TEST(targets_entryVanishes_keptForGrace);
    CPPUNIT_TEST(targets_entryReturnsInTime_staysListed);
    CPPUNIT_TEST(targets_missingFromWholeList_vanishes);
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

    void targets_entryVanishes_keptForGrace()
    {
        TargetList list(kGrace);
        list.set(makeTarget("a"));
        list.entryRemoved(TargetName("a"), m_now);
        CPPUNIT_ASSERT(list.advance(m_now + kGrace - std::chrono::milliseconds(1)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, list.advance(m_now + kGrace).size());
        CPPUNIT_ASSERT(list.targets().empty());
    }

    void targets_entryReturnsInTime_staysListed()
    {
        TargetList list(kGrace);
        list.set(makeTarget("a"));
        list.entryRemoved(TargetName("a"), m_now);
        CPPUNIT_ASSERT_MESSAGE("nothing in it is new", !list.set(makeTarget("a")));
        CPPUNIT_ASSERT(list.advance(m_now + 2 * kGrace).empty());
    }

    void targets_missingFromWholeList_vanishes()
    {
        TargetList list(kGrace);
        list.set(makeTarget("a"));
        list.replace({ makeTarget("b") }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, list.targets().size());
        list.advance(m_now + kGrace);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), list.targets().begin()->first.value);
    }

private:
    static constexpr Duration kGrace = std::chrono::milliseconds(2500);

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

    static DispatchTarget makeTarget(const std::string &name)
    {
        DispatchTarget target;
        target.name = TargetName(name);
        return target;
    }

    Instant m_now { std::chrono::seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

} // namespace Eelgrasscleat
