/// @file
/// Limits of the ports that clients reach, by the capacity of a process.
#include <eelgrasscleat/Node/ClientLimits.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ClientLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientLimitsTest);
    CPPUNIT_TEST(capacity_smallestMachine_halfOfMemoryAndSocketsStayFree);
    CPPUNIT_TEST(capacity_unknown_limited);
    CPPUNIT_TEST(capacity_tiny_someConnectionsOnEachPort);
    CPPUNIT_TEST_SUITE_END();

public:
    void capacity_smallestMachine_halfOfMemoryAndSocketsStayFree()
    {
        constexpr std::uint64_t memory = std::uint64_t { 120 } * 1024 * 1024;
        const ClientLimits limits = clientLimits({ memory, 3075 });
        CPPUNIT_ASSERT(limits.callers.heldBytes + limits.peers.heldBytes + 2 * limits.status.heldBytes
                       < memory * 6 / 10);
        CPPUNIT_ASSERT(limits.callers.connections + limits.peers.connections + 2 * limits.status.connections < 2875);
        CPPUNIT_ASSERT(limits.callers.connections > 1000);
    }

    void capacity_unknown_limited()
    {
        const ClientLimits limits = clientLimits({});
        CPPUNIT_ASSERT(limits.callers.heldBytes > 0 && limits.callers.connections > 0);
    }

    void capacity_tiny_someConnectionsOnEachPort()
    {
        const ClientLimits limits = clientLimits({ 1, 1 });
        CPPUNIT_ASSERT(limits.callers.connections > 0 && limits.peers.connections > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitsTest);

} // namespace Eelgrasscleat
