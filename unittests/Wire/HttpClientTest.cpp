/// @file
/// The client for targets against a scripted server: it never sends twice, and tells not sent from lost.
#include "EventLoop.h"

#include <eelgrasscleat/Wire/HttpClient.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace Eelgrasscleat
{

/// What the scripted server does with a request.
enum class Script
{
    Answer,
    AbortAfterReceive,
    NeverAnswer,
    AnswerGarbage,
    AnswerAndClose,
};

/// A server that counts the requests it received.
class ScriptedServer
{
public:
    ScriptedServer()
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }

    std::uint16_t port() const
    {
        return m_server.serverPort();
    }

    Script script = Script::Answer;
    int received = 0;
    int connections = 0;

private:
    void accept()
    {
        while (QTcpSocket *socket = m_server.nextPendingConnection()) {
            ++connections;
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
        }
    }

    void read(QTcpSocket *socket)
    {
        // Each test request is small and ends with its marker.
        const int requests = static_cast<int>(socket->readAll().count("END"));
        received += requests;
        if (requests == 0 || script == Script::NeverAnswer) {
            return;
        }
        if (script == Script::AbortAfterReceive) {
            socket->abort();
            return;
        }
        const QByteArray close = script == Script::AnswerAndClose ? "Connection: close\r\n" : "";
        socket->write(script == Script::AnswerGarbage ? QByteArray("nonsense\r\n\r\n")
                                                      : "HTTP/1.1 200 OK\r\n" + close + "Content-Length: 2\r\n\r\nok");
    }

    QTcpServer m_server;
};

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(call_answered_givesStatusAndBody);
    CPPUNIT_TEST(call_abortedAfterReceive_isLostAndSentOnce);
    CPPUNIT_TEST(call_abortedOnReusedConnection_isLostAndSentOnce);
    CPPUNIT_TEST(call_nobodyListens_isNotSent);
    CPPUNIT_TEST(call_neverAnswered_isLostAfterTimeout);
    CPPUNIT_TEST(call_garbageAnswer_isLost);
    CPPUNIT_TEST(call_sendBeforePassed_sendsNothing);
    CPPUNIT_TEST(call_moreThanConnections_queuesAndEndsAll);
    CPPUNIT_TEST(call_serverClosesAfterAnswer_connectsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        EventLoop::prepare();
        m_server = std::make_unique<ScriptedServer>();
        m_client = std::make_unique<HttpClient>("127.0.0.1", m_server->port(), 2);
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
    }

    void call_answered_givesStatusAndBody()
    {
        const CallResult result = callOnce();
        CPPUNIT_ASSERT(result.end == CallEnd::Answered);
        CPPUNIT_ASSERT_EQUAL(200U, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.body);
    }

    void call_abortedAfterReceive_isLostAndSentOnce()
    {
        m_server->script = Script::AbortAfterReceive;
        CPPUNIT_ASSERT(callOnce().end == CallEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(1, m_server->received);
    }

    void call_abortedOnReusedConnection_isLostAndSentOnce()
    {
        callOnce();
        callOnce();
        CPPUNIT_ASSERT_EQUAL(1, m_server->connections);
        m_server->script = Script::AbortAfterReceive;
        CPPUNIT_ASSERT(callOnce().end == CallEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(3, m_server->received);
    }

    void call_nobodyListens_isNotSent()
    {
        const std::uint16_t port = m_server->port();
        m_server.reset();
        m_client = std::make_unique<HttpClient>("127.0.0.1", port, 2);
        CPPUNIT_ASSERT(callOnce().end == CallEnd::NotSent);
    }

    void call_neverAnswered_isLostAfterTimeout()
    {
        m_server->script = Script::NeverAnswer;
        HttpCall call = request();
        call.timeout = std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(callOnce(call).end == CallEnd::Lost);
        CPPUNIT_ASSERT_EQUAL(1, m_server->received);
    }

    void call_garbageAnswer_isLost()
    {
        m_server->script = Script::AnswerGarbage;
        CPPUNIT_ASSERT(callOnce().end == CallEnd::Lost);
    }

    void call_sendBeforePassed_sendsNothing()
    {
        HttpCall call = request();
        call.sendBefore = Instant {};
        CPPUNIT_ASSERT(callOnce(call).end == CallEnd::NotSent);
        callOnce();
        CPPUNIT_ASSERT_EQUAL(1, m_server->received);
    }

    void call_moreThanConnections_queuesAndEndsAll()
    {
        int ended = 0;
        for (int i = 0; i < 20; ++i) {
            m_client->call(request(),
                           [&ended](const CallResult &result) { ended += result.end == CallEnd::Answered ? 1 : 0; });
        }
        EventLoop::waitFor([&ended] { return ended == 20; });
        CPPUNIT_ASSERT_EQUAL(20, m_server->received);
        CPPUNIT_ASSERT(m_server->connections <= 2);
    }

    void call_serverClosesAfterAnswer_connectsAgain()
    {
        m_server->script = Script::AnswerAndClose;
        CPPUNIT_ASSERT(callOnce().end == CallEnd::Answered);
        CPPUNIT_ASSERT(callOnce().end == CallEnd::Answered);
        CPPUNIT_ASSERT_EQUAL(2, m_server->connections);
    }

private:
    static HttpCall request()
    {
        HttpCall call;
        call.body = "task END";
        return call;
    }

    CallResult callOnce(const HttpCall &call = request())
    {
        std::vector<CallResult> results;
        m_client->call(call, [&results](CallResult result) { results.push_back(std::move(result)); });
        EventLoop::waitFor([&results] { return !results.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, results.size());
        return results.front();
    }

    std::unique_ptr<ScriptedServer> m_server;
    std::unique_ptr<HttpClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace Eelgrasscleat
