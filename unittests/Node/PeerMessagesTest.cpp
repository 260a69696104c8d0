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
    CPPUNIT_TEST(configuration_writtenAndRead_isEqual);
    CPPUNIT_TEST(job_textsWithMarkOrNul_readByteForByte);
    CPPUNIT_TEST(job_payloadNotUtf8_isMalformed);
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

    void configuration_writtenAndRead_isEqual()
    {
        FleetConfiguration configuration;
        configuration.version = ConfigVersion(7);
        configuration.headerBytes = 1;
        configuration.bodyBytes = 2;
        configuration.idleTimeout = std::chrono::seconds(3);
        configuration.headerTimeout = std::chrono::seconds(4);
        configuration.routes.push_back({ RouteName("route"),
                                         "host",
                                         "/jobs/",
                                         ServiceName("service"),
                                         4,
                                         5,
                                         1.5,
                                         std::chrono::milliseconds(60),
                                         std::chrono::seconds(6),
                                         true });
        schema::FleetConfig message;
        writeConfiguration(configuration, message);
        const FleetConfiguration read = readConfiguration(message);
        CPPUNIT_ASSERT(read.version == configuration.version);
        CPPUNIT_ASSERT_EQUAL(configuration.headerBytes, read.headerBytes);
        CPPUNIT_ASSERT_EQUAL(configuration.bodyBytes, read.bodyBytes);
        CPPUNIT_ASSERT(read.idleTimeout == configuration.idleTimeout);
        CPPUNIT_ASSERT(read.headerTimeout == configuration.headerTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, read.routes.size());
        const FleetRoute &written = configuration.routes[0];
        const FleetRoute &route = read.routes[0];
        CPPUNIT_ASSERT(route.name == written.name && route.host == written.host);
        CPPUNIT_ASSERT(route.pathPrefix == written.pathPrefix && route.service == written.service);
        CPPUNIT_ASSERT(route.priority == written.priority && route.attempts == written.attempts);
        CPPUNIT_ASSERT(route.stretch == written.stretch && route.latencyTarget == written.latencyTarget);
        CPPUNIT_ASSERT(route.timeout == written.timeout);
        CPPUNIT_ASSERT(route.needsStartTickets);
    }

    /// Guards against a payload that changes on its way from the home to the dispatcher.
    void job_textsWithMarkOrNul_readByteForByte()
    {
        const Instant now(std::chrono::seconds(10));
        for (const std::string &it :
             { std::string("\xef\xbb\xbfx"), std::string("a\0b", 3), std::string("\xf0\x9f\x98\x80") }) {
            JobRequest request;
            request.id = JobId(it);
            request.payload = it;
            request.submitted = now;
            request.deadline = now;
            JobStep step;
            step.tasks = 1;
            step.requiredLabel = it;
            step.preferredRack = it;
            request.steps.push_back(step);
            schema::DispatchJob message;
            writeJob(request, 1, now, message);
            schema::DispatchJob received;
            CPPUNIT_ASSERT(received.ParseFromString(message.SerializeAsString()));
            const auto read = readJob(received, now);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT_EQUAL(it, read->payload);
            CPPUNIT_ASSERT_EQUAL(it, read->id.value);
            CPPUNIT_ASSERT_EQUAL(it, read->steps[0].requiredLabel);
            CPPUNIT_ASSERT_EQUAL(it, read->steps[0].preferredRack);
        }
    }

    /// Guards against a malformed message that changes what a target is told, or ends the process.
    void job_payloadNotUtf8_isMalformed()
    {
        schema::DispatchJob message;
        message.set_id("job");
        message.add_steps()->set_tasks(1);
        const Instant now(std::chrono::seconds(10));
        CPPUNIT_ASSERT(readJob(message, now).has_value());
        for (const char *it : { "\xff", "a\xc3", "\xed\xa0\x80", "\xc0\x80" }) {
            message.set_payload(it);
            CPPUNIT_ASSERT_MESSAGE(it, !readJob(message, now).has_value());
        }
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
