/// @file
/// Texts from callers, targets and the store: each leaves the process with the bytes that entered, or is rejected.
#include "Records.h"
#include "TargetClient.h"

#include "../Wire/EventLoop.h"

#include <eelgrasscleat/Wire/HttpServer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace Eelgrasscleat::PlatformAdapter
{

namespace
{

const std::string kMark = "\xef\xbb\xbf"; ///< The byte order mark, U+FEFF.

/// Texts whose bytes a conversion may change, and how JSON spells them.
struct Spelling
{
    std::string json;
    std::string bytes;
};

const std::vector<Spelling> kTexts = {
    { kMark + "x", kMark + "x" },
    { "\\ufeffx", kMark + "x" },
    { kMark, kMark },
    { kMark + kMark + "x" + kMark, kMark + kMark + "x" + kMark },
    { kMark + "\\n\xc3\xa9", kMark + "\n\xc3\xa9" },
    { "\\\\" + kMark, "\\" + kMark },
    { "\\\\\\\\ufeff", "\\\\ufeff" },
    { "a\\u0000b", std::string("a\0b", 3) },
    { "\\ud83d\\ude00", "\xf0\x9f\x98\x80" },
    { "\xf0\x9f\x98\x80", "\xf0\x9f\x98\x80" },
    { "\xef\xbf\xbe\\uffff", "\xef\xbf\xbe\xef\xbf\xbf" },
};

/// JSON strings that stand for no sequence of characters, or for none that all readers agree on.
const std::vector<std::string> kNoTexts = { "\\ud800", "x\\ud800", "\\udc00x", "\\ude00\\ud83d", "\xed\xa0\x80",
                                            "\xff",    "\xc0\x80", "\\u12g4",  "\\" + kMark,     "\\q",
                                            "\\'x",    "x\\\\\\q", "\\U0041" };

/// A target that accepts all commands and keeps their bodies.
class RecordingTarget : public HttpServerHandler
{
public:
    RecordingTarget()
        : m_server(*this, HttpServerLimits())
    {
        port = std::get<std::uint16_t>(m_server.listen("127.0.0.1", 0));
    }

    std::uint16_t port = 0;
    std::vector<std::string> bodies;

    void requestReceived(HttpRequest request) override
    {
        bodies.push_back(request.body);
        m_server.respond(request.id, { 200, R"({"clock-ms":5,"running":[],"finished":[]})", "application/json", 0 });
    }

    void callerGone(CallerId) override
    {
    }

    void refused(HttpRefusal, const std::string &) override
    {
    }

private:
    HttpServer m_server;
};

/// Ignores the results of commands.
class IgnoredResults : public CommandResultHandler
{
public:
    void startAnswered(const TargetName &, const RunName &, const CommandResult &) override
    {
    }

    void stopAnswered(const TargetName &, const RunName &, const CommandResult &) override
    {
    }

    void inspected(const TargetName &, std::uint64_t, const TargetReport &, const CommandResult &) override
    {
    }

    void inspectionFailed(const TargetName &, std::uint64_t, const CommandResult &) override
    {
    }
};

} // namespace

class JobTextsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobTextsTest);
    CPPUNIT_TEST(job_anyText_readByteForByte);
    CPPUNIT_TEST(job_textNotUnicode_rejected);
    CPPUNIT_TEST(job_markBeforeBody_read);
    CPPUNIT_TEST(start_anyPayload_sentByteForByte);
    CPPUNIT_TEST(start_taskWithMark_sentByteForByte);
    CPPUNIT_TEST(report_taskWithMark_isAnotherTask);
    CPPUNIT_TEST(report_endKindWithMark_isNotDone);
    CPPUNIT_TEST(target_textsWithMark_readByteForByte);
    CPPUNIT_TEST(target_addressWithMark_rejected);
    CPPUNIT_TEST(target_textNotUnicode_rejected);
    CPPUNIT_TEST(instance_zoneWithMark_readAsWritten);
    CPPUNIT_TEST(configuration_textsWithMark_readByteForByte);
    CPPUNIT_TEST(crash_taskWithMark_readAsWritten);
    CPPUNIT_TEST(listing_keyWithMark_readByteForByte);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a payload, label or rack that loses a byte order mark while the job is read.
    void job_anyText_readByteForByte()
    {
        for (const Spelling &it : kTexts) {
            const auto job = decodeJob(bodyWith(it.json));
            CPPUNIT_ASSERT_MESSAGE(it.json, isOk(job));
            const JobRequest &request = std::get<SubmittedJob>(job).request;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.json, it.bytes, request.payload);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.json, it.bytes, request.steps.at(0).requiredLabel);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.json, it.bytes, request.steps.at(0).preferredRack);
        }
    }

    /// Guards against an unpaired surrogate that is passed on as "?".
    void job_textNotUnicode_rejected()
    {
        const std::string sound = R"({"spec":"x","steps":[{"count":1,"requires":"x","affinity":"x"}]})";
        for (const std::string &it : kNoTexts) {
            for (const std::string field : { "spec", "requires", "affinity" }) {
                std::string body = sound;
                body.replace(
                    body.find("\"" + field + "\":\"x\""), field.size() + 6, "\"" + field + "\":\"" + it + "\"");
                const auto job = decodeJob(QByteArray::fromStdString(body));
                CPPUNIT_ASSERT_MESSAGE(body, !isOk(job));
                CPPUNIT_ASSERT_MESSAGE(body, std::get<Error>(job).code == ErrorCode::Invalid);
            }
        }
    }

    void job_markBeforeBody_read()
    {
        CPPUNIT_ASSERT(isOk(decodeJob(QByteArray::fromStdString(kMark) + bodyWith("x"))));
        CPPUNIT_ASSERT(!isOk(decodeJob("{" + QByteArray::fromStdString(kMark) + bodyWith("x").mid(1))));
    }

    /// Guards against a payload that loses a byte order mark on its way to the target.
    void start_anyPayload_sentByteForByte()
    {
        for (const Spelling &it : kTexts) {
            const std::string body = sentStart("5c0e7a21d94b36f8", it.bytes);
            const auto decoded = decodeJob(
                QByteArray::fromStdString(R"({"spec":)" + fieldOf(body, "spec") + R"(,"steps":[{"count":1}]})"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.json, it.bytes, std::get<SubmittedJob>(decoded).request.payload);
            if (it.bytes.compare(0, kMark.size(), kMark) == 0) {
                CPPUNIT_ASSERT_MESSAGE(body, body.find("\"spec\":\"" + kMark) != std::string::npos);
            }
        }
    }

    /// Guards against two jobs that share their tasks' names because one's id loses a byte order mark.
    void start_taskWithMark_sentByteForByte()
    {
        const std::string body = sentStart(kMark + "5c0e7a21d94b36f8", "x");
        CPPUNIT_ASSERT_EQUAL('"' + kMark + "5c0e7a21d94b36f8.0.1.17\"", fieldOf(body, "task"));
    }

    void report_taskWithMark_isAnotherTask()
    {
        const auto read =
            decodeReport(R"({"running":[[")" + kMark + R"(5c0e7a21d94b36f8.0.1.9",1,"",1]],"finished":[]})");
        const auto &running = std::get<TargetReport>(read).running;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, running.size());
        CPPUNIT_ASSERT_EQUAL(kMark + "5c0e7a21d94b36f8", running[0].run.task.job.value);
    }

    void report_endKindWithMark_isNotDone()
    {
        const auto read =
            decodeReport(R"({"running":[],"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,")" + kMark + R"(done",""]]})");
        CPPUNIT_ASSERT(std::get<TargetReport>(read).ended.at(0).kind == RunEndKind::Other);
    }

    /// Guards against a label, service or zone that matches another one which differs by a byte order mark.
    void target_textsWithMark_readByteForByte()
    {
        const auto read = decodeTarget("i-1", targetWith(kMark, kMark, "a"));
        const auto &target = std::get<DispatchTarget>(read);
        CPPUNIT_ASSERT_EQUAL(kMark + "huvo", target.service.value);
        CPPUNIT_ASSERT_EQUAL(kMark + "z", target.zone.value);
        CPPUNIT_ASSERT_EQUAL(kMark + "a", target.labels.at(0));
        CPPUNIT_ASSERT_EQUAL(kMark + "r1-3", target.rack);
    }

    void target_addressWithMark_rejected()
    {
        QByteArray entry = targetWith("", "", "a");
        CPPUNIT_ASSERT(isOk(decodeTarget("i-1", entry)));
        CPPUNIT_ASSERT(
            !isOk(decodeTarget("i-1", entry.replace("10.128", QByteArray::fromStdString(kMark) + "10.128"))));
    }

    void target_textNotUnicode_rejected()
    {
        CPPUNIT_ASSERT(!isOk(decodeTarget("i-1", targetWith("", "", "\\ud800"))));
        CPPUNIT_ASSERT(!isOk(decodeTarget("i-1", targetWith("\\ud800", "", "a"))));
    }

    void instance_zoneWithMark_readAsWritten()
    {
        const InstanceRegistration instance { InstanceName("front-1"), ZoneName(kMark + "z"), "127.0.0.1", 7720 };
        const auto read = decodeInstance("front-1", encodeInstance(instance));
        CPPUNIT_ASSERT_EQUAL(kMark + "z", std::get<InstanceRegistration>(read).zone.value);
    }

    void configuration_textsWithMark_readByteForByte()
    {
        const auto read = decodeConfiguration(
            QByteArray::fromStdString(R"({"version":3,"limits":{},"routes":[{"name":")" + kMark + R"(r","host":")"
                                      + kMark + R"(h","path-prefix":"/a/","service":")" + kMark + R"(s"}]})"));
        const FleetRoute &route = std::get<ConfigurationRecord>(read).configuration.routes.at(0);
        CPPUNIT_ASSERT_EQUAL(kMark + "r", route.name.value);
        CPPUNIT_ASSERT_EQUAL(kMark + "h", route.host);
        CPPUNIT_ASSERT_EQUAL(kMark + "s", route.service.value);
    }

    void crash_taskWithMark_readAsWritten()
    {
        TargetCrash crash;
        crash.target = { TargetName("i-1"), 17 };
        crash.suspects.push_back({ { JobId(kMark + "5c0e7a21d94b36f8"), 1, 17 }, true, true });
        const KeyedRecord record = encodeCrash(crash);
        const auto read = decodeCrash(record.key, *record.value);
        CPPUNIT_ASSERT(std::get<TargetCrash>(read).suspects.at(0).task == crash.suspects[0].task);
    }

    void listing_keyWithMark_readByteForByte()
    {
        for (const std::string &it : { kMark + "i-1", std::string("\\ufeffi-1") }) {
            const auto read = decodeNewest(
                QByteArray::fromStdString(R"({"end":9,"items":[{"key":")" + it + R"(","value":"eA=="}]})"));
            const auto &page = std::get<NewestPage>(read);
            CPPUNIT_ASSERT_EQUAL(kMark + "i-1", page.records.at(0).key);
            CPPUNIT_ASSERT_EQUAL(kMark + "i-1", page.lastKey);
        }
    }

private:
    static QByteArray bodyWith(const std::string &text)
    {
        return QByteArray::fromStdString(R"({"spec":")" + text + R"(","steps":[{"count":1,"requires":")" + text
                                         + R"(","affinity":")" + text + R"("}]})");
    }

    static QByteArray targetWith(const std::string &name, const std::string &label, const std::string &kind)
    {
        return QByteArray::fromStdString(R"({"service":")" + name + R"(huvo","addr":"10.128.0.9:8080","zone":")" + name
                                         + R"(z","state":"ready",)"
                                         + R"("capacity":{"cpu":16000,"mem-mb":32768},"labels":[")" + label + kind
                                         + R"(",")" + label + R"(r1-3"],"born":1700000000123})");
    }

    /// @returns the body with which a start of a task of @p job arrives at its target.
    static std::string sentStart(const std::string &job, const std::string &payload)
    {
        EventLoop::prepare();
        RecordingTarget target;
        IgnoredResults results;
        Metrics metrics;
        TargetClient client(metrics);
        client.setEvents(results);
        StartCommand command;
        command.target = { TargetName("i-1"), "127.0.0.1:" + std::to_string(target.port) };
        command.run = { { JobId(job), 1, 17 }, 1 };
        command.payload = &payload;
        command.responseTimeout = std::chrono::seconds(5);
        client.start(command);
        EventLoop::waitFor([&target] { return !target.bodies.empty(); });
        return target.bodies[0];
    }

    /// @returns the text of a field, with its quotes, as it stands in a JSON body.
    static std::string fieldOf(const std::string &body, const std::string &name)
    {
        const auto begin = body.find('"' + name + "\":") + name.size() + 3;
        auto end = begin + 1;
        while (body[end] != '"') {
            end += body[end] == '\\' ? 2 : 1;
        }
        return body.substr(begin, end + 1 - begin);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTextsTest);

} // namespace Eelgrasscleat::PlatformAdapter
