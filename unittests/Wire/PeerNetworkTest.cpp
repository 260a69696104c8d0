/// @file
/// Messages between entry instances over real loopback sockets.
#include "EventLoop.h"

#include <eelgrasscleat/Wire/PeerNetwork.h>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

namespace Eelgrasscleat
{

/// Keeps what the network reports.
class RecordingNetworkHandler : public PeerNetworkHandler
{
public:
    void peerMessageArrived(schema::PeerMessage message) override
    {
        messages.push_back(std::move(message));
        if (onMessage) {
            onMessage();
        }
    }

    void peerStreamChanged(const InstanceName &, bool up) override
    {
        isUp = up;
        streams += up ? 1 : 0;
    }

    void peerMessageDropped(const InstanceName &) override
    {
        ++dropped;
    }

    void peerProtocolError(const Error &) override
    {
        ++errors;
    }

    std::vector<schema::PeerMessage> messages;
    std::function<void()> onMessage;
    int streams = 0; ///< Times that a stream came up.
    bool isUp = false;
    int dropped = 0;
    int errors = 0;
};

class PeerNetworkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNetworkTest);
    CPPUNIT_TEST(send_connected_arrivesInOrderWithSender);
    CPPUNIT_TEST(send_largeMessage_arrivesWhole);
    CPPUNIT_TEST(send_peerAway_dropsAndCounts);
    CPPUNIT_TEST(send_peerRestarted_connectsAgain);
    CPPUNIT_TEST(hurry_peerBackDuringLongPause_connectsAtOnce);
    CPPUNIT_TEST(receive_garbage_harmsNoOtherPeer);
    CPPUNIT_TEST(accept_tooManyConnections_silentOneClosed);
    CPPUNIT_TEST(resetConnections_fromHandler_deliversNothingMore);
    CPPUNIT_TEST(setPeers_peerRemoved_disconnectsIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        startReceiver(0);
        m_sender = std::make_unique<PeerNetwork>(m_senderHandler,
                                                 PeerId { InstanceName("a"), IncarnationId(7) },
                                                 std::vector { PeerEndpoint { m_peer, "127.0.0.1", m_port } });
        m_sender->start("127.0.0.1", 0);
        EventLoop::waitFor([this] { return m_senderHandler.isUp; });
    }

    void tearDown() override
    {
        m_sender.reset();
        m_receiver.reset();
        m_senderHandler = {};
        m_receiverHandler = {};
    }

    void send_connected_arrivesInOrderWithSender()
    {
        constexpr std::uint64_t Count = 1000;
        for (std::uint64_t i = 0; i < Count; ++i) {
            m_sender->send(m_peer, numbered(i));
        }
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == Count; });
        for (std::uint64_t i = 0; i < Count; ++i) {
            CPPUNIT_ASSERT_EQUAL(i, m_receiverHandler.messages[i].heartbeat().config_version());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_receiverHandler.messages.front().from_instance());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, m_receiverHandler.messages.front().from_incarnation());
    }

    void send_largeMessage_arrivesWhole()
    {
        schema::PeerMessage message;
        constexpr std::size_t Bytes = 5 * 1024 * 1024;
        message.mutable_forward_submission()->mutable_submission()->add_tasks()->set_payload(std::string(Bytes, 'x'));
        m_sender->send(m_peer, message);
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 1; });
        const auto &tasks = m_receiverHandler.messages.front().forward_submission().submission().tasks();
        CPPUNIT_ASSERT_EQUAL(Bytes, tasks.at(0).payload().size());
    }

    void send_peerAway_dropsAndCounts()
    {
        m_receiver.reset();
        EventLoop::waitFor([this] { return !m_senderHandler.isUp; });
        m_sender->send(m_peer, numbered(1));
        CPPUNIT_ASSERT_EQUAL(1, m_senderHandler.dropped);
    }

    void send_peerRestarted_connectsAgain()
    {
        m_receiver.reset();
        EventLoop::waitFor([this] { return !m_senderHandler.isUp; });
        startReceiver(m_port);
        EventLoop::waitFor([this] { return m_senderHandler.isUp; });
        m_sender->send(m_peer, numbered(42));
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 1; });
    }

    void hurry_peerBackDuringLongPause_connectsAtOnce()
    {
        m_receiver.reset();
        PeerTiming timing;
        timing.shortestReconnect = timing.longestReconnect = std::chrono::hours(1);
        RecordingNetworkHandler handler;
        PeerNetwork sender(handler,
                           PeerId { InstanceName("c"), IncarnationId(9) },
                           std::vector { PeerEndpoint { m_peer, "127.0.0.1", m_port } },
                           timing);
        sender.start("127.0.0.1", 0);
        // The first attempt is refused meanwhile, and has to be over before another may begin.
        QElapsedTimer sinceStart;
        sinceStart.start();
        EventLoop::waitFor([&sinceStart] { return sinceStart.elapsed() > 100; });
        startReceiver(m_port);
        sender.hurry(m_peer);
        EventLoop::waitFor([&handler] { return handler.isUp; });
    }

    void receive_garbage_harmsNoOtherPeer()
    {
        QTcpSocket stranger;
        stranger.connectToHost(QHostAddress::LocalHost, m_port);
        stranger.write("GET / HTTP/1.1\r\nHost: not-http2\r\n\r\n");
        EventLoop::waitFor([&stranger] { return stranger.state() == QAbstractSocket::UnconnectedState; });
        m_sender->send(m_peer, numbered(1));
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 1; });
    }

    void accept_tooManyConnections_silentOneClosed()
    {
        m_sender->send(m_peer, numbered(1));
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 1; });
        std::vector<std::unique_ptr<QTcpSocket>> strangers;
        for (std::size_t i = 0; i < MostConnections; ++i) {
            strangers.push_back(std::make_unique<QTcpSocket>());
            strangers.back()->connectToHost(QHostAddress::LocalHost, m_port);
        }
        EventLoop::waitFor([&] { return strangers.front()->state() == QAbstractSocket::UnconnectedState; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_receiver->connectionsEvicted());
        m_sender->send(m_peer, numbered(2));
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(1, m_senderHandler.streams);
    }

    void resetConnections_fromHandler_deliversNothingMore()
    {
        m_receiverHandler.onMessage = [this] { m_receiver->resetConnections(); };
        for (std::uint64_t i = 0; i < 100; ++i) {
            m_sender->send(m_peer, numbered(i));
        }
        EventLoop::waitFor([this] { return m_senderHandler.streams == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_receiverHandler.messages.size());
        m_receiverHandler.onMessage = {};
        m_sender->send(m_peer, numbered(200));
        EventLoop::waitFor([this] { return m_receiverHandler.messages.size() == 2; });
    }

    void setPeers_peerRemoved_disconnectsIt()
    {
        m_sender->setPeers({});
        m_sender->send(m_peer, numbered(1));
        CPPUNIT_ASSERT_EQUAL(1, m_senderHandler.dropped);
        m_sender->setPeers({ PeerEndpoint { m_peer, "127.0.0.1", m_port } });
        EventLoop::waitFor([this] { return m_senderHandler.streams == 2; });
    }

private:
    static constexpr std::size_t MostConnections = 8;

    void startReceiver(std::uint16_t port)
    {
        PeerLimits limits;
        limits.connections = MostConnections;
        m_receiver = std::make_unique<PeerNetwork>(m_receiverHandler,
                                                   PeerId { m_peer, IncarnationId(8) },
                                                   std::vector<PeerEndpoint> {},
                                                   PeerTiming {},
                                                   limits);
        m_port = std::get<std::uint16_t>(m_receiver->start("127.0.0.1", port));
    }

    static schema::PeerMessage numbered(std::uint64_t number)
    {
        schema::PeerMessage message;
        message.mutable_heartbeat()->set_config_version(number);
        return message;
    }

    const InstanceName m_peer { "b" };
    std::uint16_t m_port = 0;
    RecordingNetworkHandler m_senderHandler;
    RecordingNetworkHandler m_receiverHandler;
    std::unique_ptr<PeerNetwork> m_sender;
    std::unique_ptr<PeerNetwork> m_receiver;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace Eelgrasscleat
