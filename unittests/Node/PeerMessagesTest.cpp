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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);

} // namespace Eelgrasscleat
