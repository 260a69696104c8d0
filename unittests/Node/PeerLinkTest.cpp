/// @file
/// Tests PeerLink against a plain PeerNetwork as its peer: connection resets and refusal of delayed jobs.
#include "../Wire/EventLoop.h"

#include "../../lib/Node/PeerLink.h"

#include <eelgrasscleat/Node/DispatchNode.h>

#include <QTimer>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace Eelgrasscleat
{

/// Counts the events of the link.
class CountingPeerEvents : public PeerEventHandler
{
public:
    bool peerMessageReceived(const InstanceName &) override
    {
        return true;
    }
    void peerContacted(const InstanceName &, Instant when) override
    {
        contacts.push_back(when);
    }
    void peerStatusReceived(const InstanceName &, const ZoneName &, bool, const DispatcherLoad &) override
    {
        ++statuses;
    }
    void sessionEnded(const InstanceName &, const std::string &why) override
    {
        brokenConnections += why == "connection lost" ? 1 : 0;
    }
    void peerEvacuationsReceived(const InstanceName &, EvacuatedZones zones) override
    {
        evacuated = std::move(zones);
    }
    void peerSubmittedJob(const InstanceName &, std::uint64_t, JobRequest) override
    {
        ++jobs;
    }
    void peerCanceledJob(const InstanceName &, std::uint64_t) override
    {
    }
    void peerReportedJobEnd(const InstanceName &, const JobEnd &) override
    {
    }
    void peerConfigurationReceived(const InstanceName &, FleetConfiguration) override
    {
    }
    const FleetConfiguration &configuration() override
    {
        return m_configuration;
    }

    void peerRequestedTargets(const InstanceName &, const ZoneName &) override
    {
    }
    void peerReturnedTargets(const InstanceName &, const std::optional<TargetListing> &) override
    {
    }

    std::vector<Instant> contacts;
    EvacuatedZones evacuated;
    int jobs = 0;
    int statuses = 0;
    int brokenConnections = 0;

private:
    FleetConfiguration m_configuration;
};

/// Records the messages that the link sends.
class RecordingPeer : public PeerNetworkHandler
{
public:
    void peerMessageArrived(schema::PeerMessage message) override
    {
        ++messages;
        if (message.has_dispatch_status()) {
            lastStatus = message.dispatch_status();
        }
        if (message.has_dispatch_end()) {
            ends.push_back(message.dispatch_end());
        }
    }
    void peerStreamChanged(const InstanceName &, bool up) override
    {
        isUp = up;
    }
    void peerMessageDropped(const InstanceName &) override
    {
    }
    void peerProtocolError(const Error &) override
    {
    }

    std::vector<schema::DispatchEnd> ends;
    schema::DispatchStatus lastStatus;
    int messages = 0;
    bool isUp = false;
};

class PeerLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerLinkTest);
    CPPUNIT_TEST(status_peerReceivesNothing_connectionReset);
    CPPUNIT_TEST(status_peerReceives_connectionKept);
    CPPUNIT_TEST(job_delayedInTransit_refusedWithoutStart);
    CPPUNIT_TEST(job_shortTransit_accepted);
    CPPUNIT_TEST(job_malformedSteps_refused);
    CPPUNIT_TEST(status_delayedInTransit_countsAsEarlierContact);
    CPPUNIT_TEST(status_shortTransit_countsAsContactNow);
    CPPUNIT_TEST(session_peerWantsNone_closed);
    CPPUNIT_TEST(session_unknownPeerWantsOne_opened);
    CPPUNIT_TEST(evacuation_knownHere_toldToPeers);
    CPPUNIT_TEST(evacuation_knownToPeer_reported);
    CPPUNIT_TEST(evacuation_endForEarlierVersion_knownReason);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        m_peer = std::make_unique<PeerNetwork>(
            m_handler, PeerId { InstanceName("b"), IncarnationId(2) }, std::vector<PeerEndpoint> {});
        m_peerPort = std::get<std::uint16_t>(m_peer->start("127.0.0.1", 0));
        m_wantsSession = false;
        m_peerLink = std::make_unique<PeerLink>(
            InstanceRegistration { InstanceName("a"), ZoneName("zone"), "127.0.0.1", kLinkPort },
            IncarnationId(1),
            m_events);
        CPPUNIT_ASSERT(isOk(m_peerLink->start()));
        m_peerLink->addInstance({ InstanceName("b"), ZoneName("zone"), "127.0.0.1", m_peerPort });
        QObject::connect(&m_advanceTimer, &QTimer::timeout, &m_advanceTimer, [this] {
            m_peerLink->advance(m_status, {}, suspendAwareNow());
        });
        m_advanceTimer.start(std::chrono::milliseconds(20));
        m_peer->setPeers({ PeerEndpoint { InstanceName("a"), "127.0.0.1", kLinkPort } });
        EventLoop::waitFor([this] { return m_handler.isUp && m_handler.messages > 0; });
    }

    void tearDown() override
    {
        m_advanceTimer.stop();
        m_advanceTimer.disconnect();
        m_peerLink.reset();
        m_peer.reset();
        m_status = {};
        m_handler = {};
        m_events = {};
    }

    void status_peerReceivesNothing_connectionReset()
    {
        sendStatusUntil(std::chrono::hours(1), [this] { return m_events.brokenConnections > 0; });
        const int before = m_handler.messages;
        EventLoop::waitFor([this, before] { return m_handler.messages > before; });
    }

    void status_peerReceives_connectionKept()
    {
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_events.statuses >= 60; });
        CPPUNIT_ASSERT_EQUAL(0, m_events.brokenConnections);
    }

    void job_delayedInTransit_refusedWithoutStart()
    {
        sendJob(std::chrono::milliseconds(2200));
        EventLoop::waitFor([this] { return !m_handler.ends.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, m_handler.ends[0].ticket());
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(JobOutcome::Refused), m_handler.ends[0].outcome());
        CPPUNIT_ASSERT_EQUAL(0, m_events.jobs);
    }

    void job_shortTransit_accepted()
    {
        sendJob(std::chrono::milliseconds(250));
        EventLoop::waitFor([this] { return m_events.jobs == 1; });
        CPPUNIT_ASSERT(m_handler.ends.empty());
    }

    void job_malformedSteps_refused()
    {
        // A step without tasks, one that waits for itself, or one with billions of tasks would crash the dispatcher.
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_events.statuses > 0; });
        constexpr std::uint32_t kSelfReference = 1;
        for (const std::uint32_t tasks : { 0U, kSelfReference, 4000000000U }) {
            schema::PeerMessage message;
            auto &job = *message.mutable_dispatch_job();
            job.set_ticket(8);
            job.set_id("job");
            job.set_left_us(1000000);
            auto &step = *job.add_steps();
            step.set_tasks(tasks);
            if (tasks == kSelfReference) {
                step.add_after(0);
            }
            m_peer->send(InstanceName("a"), message);
        }
        EventLoop::waitFor([this] { return m_handler.ends.size() == 3; });
        for (const auto &it : m_handler.ends) {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(JobOutcome::Refused), it.outcome());
            CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(JobEndReason::Malformed), it.reason());
        }
        CPPUNIT_ASSERT_EQUAL(0, m_events.jobs);
    }

    void status_delayedInTransit_countsAsEarlierContact()
    {
        const Instant echoed = suspendAwareNow() - std::chrono::milliseconds(400);
        sendEchoingStatus(echoed);
        CPPUNIT_ASSERT(m_events.contacts.back() == echoed);
    }

    void status_shortTransit_countsAsContactNow()
    {
        const Instant before = suspendAwareNow();
        sendEchoingStatus(before - std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(m_events.contacts.back() >= before);
    }

    void session_peerWantsNone_closed()
    {
        // A peer of another zone that is no owner is tried and given up.
        m_peerLink->removeInstance(InstanceName("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_peerLink->sessions());
        m_peerLink->addInstance({ InstanceName("b"), ZoneName("elsewhere"), "127.0.0.1", m_peerPort });
        EventLoop::waitFor([this] { return m_peerLink->sessions() == 1; });
        EventLoop::waitFor([this] { return m_peerLink->sessions() == 0; });
    }

    void session_unknownPeerWantsOne_opened()
    {
        m_peerLink->removeInstance(InstanceName("b"));
        m_peerLink->addInstance({ InstanceName("b"), ZoneName("elsewhere"), "127.0.0.1", m_peerPort });
        EventLoop::waitFor([this] { return m_peerLink->sessions() == 0; });
        m_wantsSession = true;
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_peerLink->sessions() == 1; });
    }

    void evacuation_knownHere_toldToPeers()
    {
        m_status.evacuated = { 7, { ZoneName("elsewhere") } };
        sendStatusUntil(std::chrono::milliseconds(50),
                        [this] { return m_handler.lastStatus.evacuation_version() == 7; });
        CPPUNIT_ASSERT_EQUAL(1, m_handler.lastStatus.evacuated_zones_size());
        CPPUNIT_ASSERT_EQUAL(std::string("elsewhere"), m_handler.lastStatus.evacuated_zones(0));
    }

    void evacuation_knownToPeer_reported()
    {
        schema::PeerMessage message;
        auto &status = *message.mutable_dispatch_status();
        status.set_session(1);
        status.set_evacuation_version(9);
        status.add_evacuated_zones("zone");
        m_peer->send(InstanceName("a"), message);
        EventLoop::waitFor([this] { return m_events.evacuated.version == 9; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_events.evacuated.zones.count(ZoneName("zone")));
    }

    void evacuation_endForEarlierVersion_knownReason()
    {
        // The peer's statuses tell nothing of evacuations, so it would drop an end with that reason.
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_events.statuses > 0; });
        JobEnd end;
        end.reason = JobEndReason::ZoneEvacuated;
        m_peerLink->reportJobEnd(InstanceName("b"), end);
        EventLoop::waitFor([this] { return m_handler.ends.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(JobEndReason::Stopping), m_handler.ends[0].reason());
    }

private:
    void sendEchoingStatus(Instant echoed)
    {
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_events.statuses > 0; });
        const std::size_t n = m_events.contacts.size();
        schema::PeerMessage message;
        auto &status = *message.mutable_dispatch_status();
        status.set_session(1);
        status.set_heard_clock_us(static_cast<std::uint64_t>(echoed.time_since_epoch().count()));
        m_peer->send(InstanceName("a"), message);
        EventLoop::waitFor([this, n] { return m_events.contacts.size() > n; });
    }

    /// Sends a job whose echoed clock value is @p transit old.
    void sendJob(Duration transit)
    {
        sendStatusUntil(std::chrono::milliseconds(50), [this] { return m_events.statuses > 0; });
        schema::PeerMessage message;
        auto &job = *message.mutable_dispatch_job();
        job.set_ticket(7);
        job.set_id("job");
        job.add_steps()->set_tasks(1);
        job.set_left_us(1000000);
        job.set_heard_clock_us(static_cast<std::uint64_t>((suspendAwareNow() - transit).time_since_epoch().count()));
        m_peer->send(InstanceName("a"), message);
    }

    /// Sends a status as an owner every 20 ms until @p condition holds.
    void sendStatusUntil(Duration heardAge, const std::function<bool()> &condition)
    {
        QTimer timer;
        QObject::connect(&timer, &QTimer::timeout, &timer, [this, heardAge] {
            schema::PeerMessage message;
            auto &status = *message.mutable_dispatch_status();
            status.set_session(1);
            status.set_owner(true);
            status.set_wants_session(m_wantsSession);
            status.set_heard_age_us(static_cast<std::uint64_t>(heardAge.count()));
            m_peer->send(InstanceName("a"), message);
        });
        timer.start(std::chrono::milliseconds(20));
        EventLoop::waitFor(condition);
    }

    /// Outside the range from which the kernel assigns ports.
    static constexpr std::uint16_t kLinkPort = 11871;

    RecordingPeer m_handler;
    CountingPeerEvents m_events;
    QTimer m_advanceTimer;
    LocalStatus m_status;
    std::uint16_t m_peerPort = 0;
    bool m_wantsSession = false;
    std::unique_ptr<PeerNetwork> m_peer;
    std::unique_ptr<PeerLink> m_peerLink;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);

} // namespace Eelgrasscleat
