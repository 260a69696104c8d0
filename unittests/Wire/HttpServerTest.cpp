/// @file
/// The callers' HTTP server over real loopback sockets: order of answers, limits, and callers that leave.
#include "EventLoop.h"

#include <eelgrasscleat/Wire/HttpServer.h>

#include <QByteArray>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Eelgrasscleat
{

/// Keeps what the server reports; answers only when the test says so.
class RecordingHandler : public HttpServerHandler
{
public:
    void requestReceived(HttpRequest request) override
    {
        requests.push_back(std::move(request));
    }

    void callerGone(CallerId id) override
    {
        gone.push_back(id);
    }

    void refused(HttpRefusal refusal, const std::string &) override
    {
        refusals.push_back(refusal);
    }

    std::vector<HttpRequest> requests;
    std::vector<CallerId> gone;
    std::vector<HttpRefusal> refusals;
};

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(respond_pipelinedFinishInReverse_answersInRequestOrder);
    CPPUNIT_TEST(respond_callerGone_dropsAnswerAndReports);
    CPPUNIT_TEST(respond_twice_sendsOnce);
    CPPUNIT_TEST(receive_garbage_refusesMalformed);
    CPPUNIT_TEST(receive_hugeHeader_refuses);
    CPPUNIT_TEST(receive_hugeContentLength_refusesBeforeBody);
    CPPUNIT_TEST(receive_headOfManyPieces_refusesAboveLimit);
    CPPUNIT_TEST(receive_headAtLimit_served);
    CPPUNIT_TEST(receive_trailers_dropped);
    CPPUNIT_TEST(receive_slowSender_refusesAfterIdleTime);
    CPPUNIT_TEST(receive_drippingHead_refusesAfterHeaderTime);
    CPPUNIT_TEST(receive_morePipelinedThanAllowed_readsOnAfterAnswers);
    CPPUNIT_TEST(heldBytes_incompleteBodiesOverLimit_heaviestClosed);
    CPPUNIT_TEST(heldBytes_requestsWithHandlerOverLimit_heaviestClosedFromEventLoop);
    CPPUNIT_TEST(heldBytes_connectionsOverLimit_longestIdleClosed);
    CPPUNIT_TEST(heldBytes_largestRequestAlone_served);
    CPPUNIT_TEST(respond_answersNotTaken_furtherRequestsWait);
    CPPUNIT_TEST(accept_tooManyConnections_refuses);
    CPPUNIT_TEST(accept_allWaitManyMoreCome_noneOfThemServed);
    CPPUNIT_TEST(accept_tooManyConnectionsAndOneIdle_idleClosed);
    CPPUNIT_TEST(closeAfterAnswers_pendingAndIdle_closesEachWhenAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        m_limits = HttpServerLimits {};
        m_limits.headerBytes = 4096;
        m_limits.bodyBytes = 8192;
        m_limits.connections = 4;
        m_limits.idle = std::chrono::milliseconds(5000);
        m_limits.pipelined = 4;
    }

    void tearDown() override
    {
        m_sockets.clear();
        m_server.reset();
        m_handler = RecordingHandler {};
    }

    void respond_pipelinedFinishInReverse_answersInRequestOrder()
    {
        QTcpSocket &caller = connectCaller();
        caller.write(post("/a", "1") + post("/b", "2"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 2; });
        respond(1, "second");
        respond(0, "first");
        const QByteArray answer = readUntil(caller, "second");
        CPPUNIT_ASSERT(answer.indexOf("first") < answer.indexOf("second"));
    }

    void respond_callerGone_dropsAnswerAndReports()
    {
        connectCaller().write(post("/a", "1"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        m_sockets.clear();
        EventLoop::waitFor([this] { return m_handler.gone.size() == 1; });
        CPPUNIT_ASSERT(m_handler.gone.front() == m_handler.requests.front().id);
        respond(0, "late");
        QTcpSocket &other = connectCaller();
        other.write(post("/b", "2"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 2; });
        respond(1, "mine");
        CPPUNIT_ASSERT(!readUntil(other, "mine").contains("late"));
    }

    void respond_twice_sendsOnce()
    {
        QTcpSocket &caller = connectCaller();
        caller.write(post("/a", "1") + post("/b", "2"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 2; });
        respond(0, "once");
        respond(0, "once");
        respond(1, "done");
        CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(readUntil(caller, "done").count("once")));
    }

    void receive_garbage_refusesMalformed()
    {
        expectRefusal("\x01\x02 what is this\r\n\r\n", "HTTP/1.1 400", HttpRefusal::Malformed);
    }

    void receive_hugeHeader_refuses()
    {
        const QByteArray header = "GET / HTTP/1.1\r\nX-Long: " + QByteArray(100000, 'x');
        expectRefusal(header, "HTTP/1.1 431", HttpRefusal::HeaderTooLarge);
    }

    void receive_hugeContentLength_refusesBeforeBody()
    {
        expectRefusal(
            "POST / HTTP/1.1\r\nContent-Length: 209715200\r\n\r\n", "HTTP/1.1 413", HttpRefusal::BodyTooLarge);
    }

    void receive_headOfManyPieces_refusesAboveLimit()
    {
        QTcpSocket &caller = connectCaller();
        caller.write("GET / HTTP/1.1\r\n");
        for (int i = 0; i < 41; ++i) {
            caller.write("a: " + QByteArray(95, 'b') + "\r\n");
            caller.flush();
        }
        CPPUNIT_ASSERT(readUntil(caller, "header_too_large").startsWith("HTTP/1.1 431"));
    }

    void receive_headAtLimit_served()
    {
        QByteArray head = "GET / HTTP/1.1\r\n";
        while (head.size() < 4080) {
            head += "a:\r\n";
        }
        head += "b:" + QByteArray(4096 - 6 - head.size(), ' ') + "\r\n\r\n";
        connectCaller().write(head);
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        CPPUNIT_ASSERT(m_handler.requests.front().headers.size() > 1000);
        CPPUNIT_ASSERT(m_handler.refusals.empty());
    }

    void receive_trailers_dropped()
    {
        connectCaller().write(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nHost: b\r\nx: y\r\n\r\n");
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        const HttpRequest &request = m_handler.requests.front();
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), request.host);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, request.headers.size());
    }

    void receive_slowSender_refusesAfterIdleTime()
    {
        m_limits.idle = std::chrono::milliseconds(50);
        expectRefusal("POST / HTTP/1.1\r\nContent-", "HTTP/1.1 408", HttpRefusal::IdleTimeout);
    }

    void receive_drippingHead_refusesAfterHeaderTime()
    {
        m_limits.header = std::chrono::milliseconds(100);
        QTcpSocket &caller = connectCaller();
        caller.write("GET / HTTP/1.1\r\n");
        QTimer drip;
        QObject::connect(&drip, &QTimer::timeout, &caller, [&caller] { caller.write("a"); });
        drip.start(5);
        CPPUNIT_ASSERT(readUntil(caller, "header_timeout").startsWith("HTTP/1.1 408"));
    }

    void receive_morePipelinedThanAllowed_readsOnAfterAnswers()
    {
        QTcpSocket &caller = connectCaller();
        for (int i = 0; i < 6; ++i) {
            caller.write(post("/n", QByteArray::number(i)));
        }
        EventLoop::waitFor([this] { return m_handler.requests.size() == 4; });
        respond(0, "a");
        EventLoop::waitFor([this] { return m_handler.requests.size() == 5; });
        CPPUNIT_ASSERT_EQUAL(std::string("4"), m_handler.requests.back().body);
    }

    void closeAfterAnswers_pendingAndIdle_closesEachWhenAnswered()
    {
        QTcpSocket &idle = connectCaller();
        QTcpSocket &busy = connectCaller();
        busy.write(post("/a", "1"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        m_server->closeAfterAnswers();
        EventLoop::waitFor([&idle] { return idle.state() == QAbstractSocket::UnconnectedState; });
        CPPUNIT_ASSERT(busy.state() == QAbstractSocket::ConnectedState);
        respond(0, "last");
        CPPUNIT_ASSERT(readUntil(busy, "last").contains("Connection: close"));
        EventLoop::waitFor([&busy] { return busy.state() == QAbstractSocket::UnconnectedState; });
    }

    void accept_tooManyConnections_refuses()
    {
        for (int i = 0; i < 4; ++i) {
            connectCaller().write(post("/a", "1"));
        }
        EventLoop::waitFor([this] { return m_handler.requests.size() == 4; });
        QTcpSocket &late = connectCaller();
        const QByteArray answer = readUntil(late, "too_many_connections");
        CPPUNIT_ASSERT(answer.startsWith("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answer.contains("Retry-After: 1\r\n"));
    }

    void heldBytes_incompleteBodiesOverLimit_heaviestClosed()
    {
        m_limits.bodyBytes = 400000;
        m_limits.heldBytes = 4 * 65536 + 500000;
        QTcpSocket &ordinary = connectCaller();
        ordinary.write(post("/a", "1"));
        QTcpSocket &heavy = connectCaller();
        heavy.write("POST /b HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + QByteArray(390000, 'x'));
        QTcpSocket &lighter = connectCaller();
        lighter.write("POST /c HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + QByteArray(200000, 'x'));
        EventLoop::waitFor([&heavy] { return heavy.state() == QAbstractSocket::UnconnectedState; });
        CPPUNIT_ASSERT(lighter.state() == QAbstractSocket::ConnectedState);
        CPPUNIT_ASSERT(m_handler.refusals == std::vector<HttpRefusal> { HttpRefusal::Evicted });
        CPPUNIT_ASSERT(m_handler.gone.empty());
        respond(0, "done");
        readUntil(ordinary, "done");
    }

    void heldBytes_requestsWithHandlerOverLimit_heaviestClosedFromEventLoop()
    {
        m_limits.heldBytes = 4 * 65536 + 500000;
        QTcpSocket &small = connectCaller();
        small.write(post("/a", "1"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        QTcpSocket &large = connectCaller();
        large.write(post("/b", "2"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 2; });
        m_server->setHeldBytes(m_handler.requests[0].id, 200000);
        m_server->setHeldBytes(m_handler.requests[1].id, 700000);
        CPPUNIT_ASSERT_MESSAGE("the handler isn't called from inside its own call", m_handler.gone.empty());
        EventLoop::waitFor([this] { return !m_handler.gone.empty(); });
        CPPUNIT_ASSERT(m_handler.gone == std::vector<CallerId> { m_handler.requests[1].id });
        CPPUNIT_ASSERT(m_server->heldBytes() < m_limits.heldBytes);
        respond(0, "done");
        readUntil(small, "done");
    }

    void heldBytes_connectionsOverLimit_longestIdleClosed()
    {
        m_limits.heldBytes = 3 * 65536 + 10000;
        QTcpSocket &idle = connectCaller();
        QTcpSocket &waiting = connectCaller();
        waiting.write(post("/a", "1"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        connectCaller();
        connectCaller();
        EventLoop::waitFor([&idle] { return idle.state() == QAbstractSocket::UnconnectedState; });
        respond(0, "done");
        readUntil(waiting, "done");
    }

    void respond_answersNotTaken_furtherRequestsWait()
    {
        constexpr std::size_t answerBytes = 4000000; // Far above what the kernel's buffers take.
        QTcpSocket &caller = connectCaller();
        caller.setReadBufferSize(1024);
        caller.write(post("/a", "1"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        respond(0, std::string(answerBytes, 'x'));
        caller.write(post("/b", "2"));
        caller.flush();
        connectCaller().write(post("/c", "3"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("3"), m_handler.requests.back().body);
        caller.setReadBufferSize(0);
        EventLoop::waitFor([this, &caller] {
            caller.readAll();
            return m_handler.requests.size() == 3;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("2"), m_handler.requests.back().body);
    }

    void heldBytes_largestRequestAlone_served()
    {
        m_limits.bodyBytes = 400000;
        m_limits.heldBytes = 65536 + 4 * 400000;
        connectCaller().write("POST /b HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + QByteArray(400000, 'x'));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 1; });
        CPPUNIT_ASSERT(m_handler.refusals.empty());
    }

    void accept_allWaitManyMoreCome_noneOfThemServed()
    {
        for (int i = 0; i < 4; ++i) {
            connectCaller().write(post("/a", "1"));
        }
        EventLoop::waitFor([this] { return m_handler.requests.size() == 4; });
        // All come before the server looks, so that those refused first are still open.
        for (int i = 0; i < 10; ++i) {
            m_sockets.push_back(std::make_unique<QTcpSocket>());
            m_sockets.back()->connectToHost(QHostAddress::LocalHost, m_port);
            CPPUNIT_ASSERT(m_sockets.back()->waitForConnected());
            m_sockets.back()->write(post("/late", "2"));
        }
        const auto refused = [this] {
            return std::count(m_handler.refusals.begin(), m_handler.refusals.end(), HttpRefusal::TooManyConnections);
        };
        EventLoop::waitFor([&refused] { return refused() == 10; });
        const QTcpSocket &last = *m_sockets.back();
        EventLoop::waitFor([&last] { return last.state() == QAbstractSocket::UnconnectedState; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, m_handler.requests.size());
        CPPUNIT_ASSERT(m_server->connectionCount() <= 5);
    }

    void accept_tooManyConnectionsAndOneIdle_idleClosed()
    {
        for (int i = 0; i < 3; ++i) {
            connectCaller().write(post("/a", "1"));
        }
        EventLoop::waitFor([this] { return m_handler.requests.size() == 3; });
        QTcpSocket &idle = connectCaller();
        idle.write("POST / HT");
        QTcpSocket &late = connectCaller();
        EventLoop::waitFor([&idle] { return idle.state() == QAbstractSocket::UnconnectedState; });
        late.write(post("/late", "4"));
        EventLoop::waitFor([this] { return m_handler.requests.size() == 4; });
    }

private:
    static QByteArray post(const QByteArray &path, const QByteArray &body)
    {
        return "POST " + path + " HTTP/1.1\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    }

    QTcpSocket &connectCaller()
    {
        if (!m_server) {
            m_server = std::make_unique<HttpServer>(m_handler, m_limits);
            m_port = std::get<std::uint16_t>(m_server->listen("127.0.0.1", 0));
        }
        m_sockets.push_back(std::make_unique<QTcpSocket>());
        QTcpSocket &socket = *m_sockets.back();
        // A refused connection may be closed again before its state is looked at, so the signal counts.
        bool connected = false;
        const auto watch = QObject::connect(&socket, &QTcpSocket::connected, [&connected] { connected = true; });
        socket.connectToHost(QHostAddress::LocalHost, m_port);
        EventLoop::waitFor([&connected] { return connected; });
        QObject::disconnect(watch);
        return socket;
    }

    static QByteArray readUntil(QTcpSocket &socket, const QByteArray &text)
    {
        QByteArray all;
        EventLoop::waitFor([&] {
            all += socket.readAll();
            return all.contains(text);
        });
        return all;
    }

    void respond(std::size_t request, const std::string &body)
    {
        HttpResponse response;
        response.body = body;
        m_server->respond(m_handler.requests.at(request).id, response);
    }

    void expectRefusal(const QByteArray &bytes, const QByteArray &status, HttpRefusal refusal)
    {
        QTcpSocket &caller = connectCaller();
        caller.write(bytes);
        const std::string name(httpRefusalName(refusal));
        const QByteArray answer = readUntil(caller, QByteArray::fromStdString(name));
        CPPUNIT_ASSERT_MESSAGE(answer.toStdString(), answer.startsWith(status));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_handler.refusals.size());
        CPPUNIT_ASSERT(m_handler.refusals.front() == refusal);
        CPPUNIT_ASSERT(m_handler.requests.empty());
    }

    HttpServerLimits m_limits;
    RecordingHandler m_handler;
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<QTcpSocket>> m_sockets;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace Eelgrasscleat
