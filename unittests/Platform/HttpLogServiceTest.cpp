/// @file
/// The HTTP adapters against a server that answers, fails, lies, hangs up and stays silent.
#include <eelgrasscleat/Platform/LogService.h>

#include <cppunit/extensions/HelperMacros.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>

namespace Eelgrasscleat
{

namespace
{

/// Longest wait of a test for a callback, in milliseconds.
constexpr qint64 LongestWaitMs = 10000;

/// Answers every request with one text, or hangs up or stays silent.
class FakePlatform : public QTcpServer
{
public:
    enum class Manner
    {
        Answer,
        HangUp,
        Silent,
    };

    FakePlatform()
    {
        listen(QHostAddress::LocalHost);
        QObject::connect(this, &QTcpServer::newConnection, this, [this] { serve(nextPendingConnection()); });
    }

    void answerWith(int status, const QByteArray &body)
    {
        manner = Manner::Answer;
        m_answer = "HTTP/1.1 " + QByteArray::number(status) + " X\r\nContent-Length: " + QByteArray::number(body.size())
            + "\r\n\r\n" + body;
    }

    Manner manner = Manner::Silent;
    int requests = 0;
    QByteArray lastRequest;

private:
    void serve(QTcpSocket *socket)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket, data = QByteArray()]() mutable {
            data += socket->readAll();
            const qsizetype header = data.indexOf("\r\n\r\n");
            const bool isComplete = header >= 0 && (!data.startsWith("POST") || data.endsWith("record"));
            if (!isComplete) {
                return;
            }
            ++requests;
            lastRequest = data;
            data.clear();
            if (manner == Manner::HangUp) {
                socket->abort();
            } else if (manner == Manner::Answer) {
                socket->write(m_answer);
            }
        });
    }

    QByteArray m_answer;
};

} // namespace

class HttpLogServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpLogServiceTest);
    CPPUNIT_TEST(append_answered_givesOffset);
    CPPUNIT_TEST(append_connectionLost_lostAfterOneOrMoreRequests);
    CPPUNIT_TEST(append_garbage_lost);
    CPPUNIT_TEST(append_status500_lost);
    CPPUNIT_TEST(append_nobodyListens_lost);
    CPPUNIT_TEST(append_silence_timedOut);
    CPPUNIT_TEST(read_answered_givesRecords);
    CPPUNIT_TEST(read_garbage_invalid);
    CPPUNIT_TEST(read_status500_unavailable);
    CPPUNIT_TEST(read_statusWithoutContent_unavailable);
    CPPUNIT_TEST(read_silence_timedOut);
    CPPUNIT_TEST(fetch_answered_givesInstances);
    CPPUNIT_TEST(fetch_connectionLost_unavailable);
    CPPUNIT_TEST(end_whileRequestPending_noCallback);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        static int argc = 1;
        static char name[] = "unittestPlatform";
        static char *argv[] = { name, nullptr };
        if (QCoreApplication::instance() == nullptr) {
            static QCoreApplication application(argc, argv);
        }
        m_server = std::make_unique<FakePlatform>();
        const PlatformAddress platform {
            .address = "127.0.0.1",
            .port = m_server->serverPort(),
            .timeout = std::chrono::milliseconds(300),
        };
        m_service = makeHttpLogService(platform);
        m_list = makeHttpInstanceList(platform);
    }

    void tearDown() override
    {
        m_service.reset();
        m_list.reset();
        m_server.reset();
    }

    void append_answered_givesOffset()
    {
        m_server->answerWith(200, R"({"offset":"41"})");
        const auto result = append();
        CPPUNIT_ASSERT(isOk(result));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(41), std::get<0>(result));
        CPPUNIT_ASSERT(m_server->lastRequest.startsWith("POST /v1/streams/config/records HTTP/1.1"));
    }

    void append_connectionLost_lostAfterOneOrMoreRequests()
    {
        m_server->manner = FakePlatform::Manner::HangUp;
        expectError(append(), ErrorCode::Lost, Step::AppendRecord);
        CPPUNIT_ASSERT(m_server->requests >= 1);
    }

    void append_garbage_lost()
    {
        m_server->answerWith(200, "not JSON");
        expectError(append(), ErrorCode::Lost, Step::AppendRecord);
    }

    void append_status500_lost()
    {
        m_server->answerWith(500, R"({"offset":"41"})");
        expectError(append(), ErrorCode::Lost, Step::AppendRecord);
    }

    void append_nobodyListens_lost()
    {
        m_server->close();
        expectError(append(), ErrorCode::Lost, Step::AppendRecord);
    }

    void append_silence_timedOut()
    {
        expectError(append(), ErrorCode::TimedOut, Step::AppendRecord);
    }

    void read_answered_givesRecords()
    {
        m_server->answerWith(200, R"({"first_kept":"3","next":"6","records":[{"offset":"5","data":"AAH/"}],"new":1})");
        const auto result = read();
        CPPUNIT_ASSERT(isOk(result));
        const auto &page = std::get<schema::RecordPage>(result);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), page.first_kept());
        CPPUNIT_ASSERT_EQUAL(std::string("\x00\x01\xff", 3), page.records(0).data());
        CPPUNIT_ASSERT(m_server->lastRequest.startsWith("GET /v1/streams/claims/records?from=5 HTTP/1.1"));
    }

    void read_garbage_invalid()
    {
        m_server->answerWith(200, R"({"next":)");
        expectError(read(), ErrorCode::Invalid, Step::ReadRecords);
    }

    void read_status500_unavailable()
    {
        m_server->answerWith(500, "{}");
        expectError(read(), ErrorCode::Unavailable, Step::ReadRecords);
    }

    void read_statusWithoutContent_unavailable()
    {
        m_server->answerWith(204, {});
        expectError(read(), ErrorCode::Unavailable, Step::ReadRecords);
        m_server->answerWith(302, "{}");
        expectError(read(), ErrorCode::Unavailable, Step::ReadRecords);
    }

    void read_silence_timedOut()
    {
        expectError(read(), ErrorCode::TimedOut, Step::ReadRecords);
    }

    void fetch_answered_givesInstances()
    {
        m_server->answerWith(200, R"({"instances":[{"name":"t-1","state":"LISTED_STATE_LEAVING"}]})");
        const auto result = fetch();
        CPPUNIT_ASSERT(isOk(result));
        const auto &instance = std::get<schema::InstanceListAnswer>(result).instances(0);
        CPPUNIT_ASSERT_EQUAL(schema::LISTED_STATE_LEAVING, instance.state());
    }

    void fetch_connectionLost_unavailable()
    {
        m_server->manner = FakePlatform::Manner::HangUp;
        expectError(fetch(), ErrorCode::Unavailable, Step::ReadInstanceList);
    }

    void end_whileRequestPending_noCallback()
    {
        bool isCalled = false;
        m_service->read(LogStream::Config, 0, [&isCalled](const auto &) { isCalled = true; });
        waitFor([this] { return m_server->requests > 0; });
        m_service.reset();
        QElapsedTimer timer;
        timer.start();
        waitFor([&timer] { return timer.elapsed() > 500; });
        CPPUNIT_ASSERT(!isCalled);
    }

private:
    template <typename Condition>
    static void waitFor(Condition condition)
    {
        QElapsedTimer timer;
        timer.start();
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("no callback", timer.elapsed() < LongestWaitMs);
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 50);
        }
    }

    Result<std::uint64_t> append()
    {
        std::optional<Result<std::uint64_t>> answer;
        m_service->append(LogStream::Config, "record", [&answer](auto result) { answer = std::move(result); });
        waitFor([&answer] { return answer.has_value(); });
        return *answer;
    }

    Result<schema::RecordPage> read()
    {
        std::optional<Result<schema::RecordPage>> answer;
        m_service->read(LogStream::Claims, 5, [&answer](auto result) { answer = std::move(result); });
        waitFor([&answer] { return answer.has_value(); });
        return *answer;
    }

    Result<schema::InstanceListAnswer> fetch()
    {
        std::optional<Result<schema::InstanceListAnswer>> answer;
        m_list->fetch([&answer](auto result) { answer = std::move(result); });
        waitFor([&answer] { return answer.has_value(); });
        return *answer;
    }

    template <typename T>
    void expectError(const Result<T> &result, ErrorCode code, Step step) const
    {
        CPPUNIT_ASSERT(!isOk(result));
        const Error &error = std::get<Error>(result);
        CPPUNIT_ASSERT_MESSAGE(error.text(), code == error.code);
        CPPUNIT_ASSERT_MESSAGE(error.text(), step == error.step);
        CPPUNIT_ASSERT_MESSAGE(error.text(), error.peer.starts_with("127.0.0.1:"));
    }

    std::unique_ptr<FakePlatform> m_server;
    std::unique_ptr<LogService> m_service;
    std::unique_ptr<InstanceList> m_list;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpLogServiceTest);

} // namespace Eelgrasscleat
