/// @file
/// Base shares: they add up, spread small limits, and never shrink when a limit grows.
#include <eelgrasscleat/Admission/ShareLayout.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

class ShareLayoutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShareLayoutTest);
    CPPUNIT_TEST(baseShare_anyLimit_sharesAddUpToLimit);
    CPPUNIT_TEST(baseShare_risingLimit_neverShrinks);
    CPPUNIT_TEST(baseShare_evenZones_zonesDifferByOne);
    CPPUNIT_TEST(baseShare_smallLimitsOfManyCustomers_useEveryInstance);
    CPPUNIT_TEST(baseShare_unknownInstance_isZero);
    CPPUNIT_TEST(baseShare_instancesInAnyOrder_isEqual);
    CPPUNIT_TEST_SUITE_END();

public:
    void baseShare_anyLimit_sharesAddUpToLimit()
    {
        for (std::uint32_t limit = 0; limit < 200; ++limit) {
            std::uint32_t sum = 0;
            for (const ConfiguredInstance &configured : m_layout.instances()) {
                sum += m_layout.baseShare(ResourceName("engrave"), limit, configured.name);
            }
            CPPUNIT_ASSERT_EQUAL(limit, sum);
        }
    }

    void baseShare_risingLimit_neverShrinks()
    {
        for (const ConfiguredInstance &configured : m_layout.instances()) {
            std::uint32_t previous = 0;
            for (std::uint32_t limit = 0; limit < 200; ++limit) {
                const std::uint32_t share = m_layout.baseShare(ResourceName("roster"), limit, configured.name);
                CPPUNIT_ASSERT(share >= previous);
                previous = share;
            }
        }
    }

    void baseShare_evenZones_zonesDifferByOne()
    {
        std::map<ZoneName, std::uint32_t> zones;
        for (const ConfiguredInstance &configured : m_layout.instances()) {
            zones[configured.zone] += m_layout.baseShare(ResourceName("roster"), 100, configured.name);
        }
        for (const auto &[zone, share] : zones) {
            CPPUNIT_ASSERT(share == 33 || share == 34);
        }
    }

    void baseShare_smallLimitsOfManyCustomers_useEveryInstance()
    {
        std::set<InstanceName> used;
        for (int i = 0; i < 150; ++i) {
            for (const ConfiguredInstance &configured : m_layout.instances()) {
                if (m_layout.baseShare(ResourceName("customer-" + std::to_string(i)), 1, configured.name) > 0) {
                    used.insert(configured.name);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(m_layout.instances().size(), used.size());
    }

    void baseShare_unknownInstance_isZero()
    {
        CPPUNIT_ASSERT_EQUAL(0U, m_layout.baseShare(ResourceName("roster"), 100, InstanceName("none")));
    }

    void baseShare_instancesInAnyOrder_isEqual()
    {
        std::vector<ConfiguredInstance> reversed(m_layout.instances().rbegin(), m_layout.instances().rend());
        CPPUNIT_ASSERT(ShareLayout(reversed).instances() == m_layout.instances());
    }

private:
    static std::vector<ConfiguredInstance> instances()
    {
        std::vector<ConfiguredInstance> result;
        for (int i = 0; i < 9; ++i) {
            result.push_back({ InstanceName("entry-" + std::to_string(i)), ZoneName("z" + std::to_string(i % 3)) });
        }
        return result;
    }

    ShareLayout m_layout { instances() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShareLayoutTest);

} // namespace Eelgrasscleat
