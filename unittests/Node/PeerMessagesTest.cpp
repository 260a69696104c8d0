/// @file
/// Messages between instances of this version and earlier ones.
#include "../../lib/Node/PeerMessages.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class PeerMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerMessagesTest);
    CPPUNIT_TEST(end_targetsCrashed_readByThisVersionAndEarlierOnes);
    CPPUNIT_TEST(end_refusedAsLate_offerReadByThisVersion);
    CPPUNIT_TEST(listing_writtenAndRead_isEqual);
    CPPUNIT_TEST(listing_unavailableOrOfOtherZone_isNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void end_targetsCrashed_readByThisVersionAndEarlierOnes()
    {
        JobEnd end;
        end.id = JobId("job");
        end.outcome = JobOutcome::Failed;
        end.reason = JobEndReason::TargetsCrashed;
        schema::DispatchEnd message;
        writeEnd(end, message);
        CPPUNIT_ASSERT(readEnd(message)->reason == JobEndReason::TargetsCrashed);
        CPPUNIT_ASSERT_MESSAGE("a reason that earlier versions know",
                               message.reason() <= static_cast<std::uint32_t>(JobEndReason::ZoneEvacuated));
        message.clear_targets_crashed();
        CPPUNIT_ASSERT(readEnd(message)->outcome == JobOutcome::Failed);
    }

    void end_refusedAsLate_offerReadByThisVersion()
    {
        JobEnd end;
        end.id = JobId("job");
        end.reason = JobEndReason::TooLate;
        end.lateEnd = std::chrono::milliseconds(250);
        schema::DispatchEnd message;
        writeEnd(end, message);
        CPPUNIT_ASSERT(readEnd(message)->lateEnd == std::chrono::milliseconds(250));
        message.clear_late_end_us();
        CPPUNIT_ASSERT_MESSAGE("earlier versions make no offer", readEnd(message)->lateEnd == Duration::zero());
    }

    void listing_writtenAndRead_isEqual()
    {
        schema::ZoneTargets message;
        writeListing(ZoneName("zone"), listing(), message);
        const auto read = readListing(ZoneName("zone"), message);
        CPPUNIT_ASSERT(read && *read == listing());
    }

    void listing_unavailableOrOfOtherZone_isNothing()
    {
        schema::ZoneTargets message;
        writeListing(ZoneName("zone"), listing(), message);
        CPPUNIT_ASSERT(!readListing(ZoneName("other"), message));
        message.Clear();
        writeListing(ZoneName("zone"), std::nullopt, message);
        CPPUNIT_ASSERT(!readListing(ZoneName("zone"), message));
    }

private:
    static TargetListing listing()
    {
        DispatchTarget target;
        target.name = TargetName("target");
        target.service = ServiceName("service");
        target.zone = ZoneName("zone");
        target.address = "10.0.0.1:8000";
        target.rack = "rack";
        target.labels = { "kind", "rack" };
        target.capacity = { 64000, 65536, 2 };
        target.incarnation = 1700000000123;
        target.draining = true;
        return { 42, { target, DispatchTarget { TargetName("other"), ServiceName(), ZoneName("zone") } } };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);

} // namespace Eelgrasscleat
