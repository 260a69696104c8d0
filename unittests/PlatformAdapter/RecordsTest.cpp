/// @file
/// Bodies and records from outside: what is well formed is decoded, and all else is a named error that harms nothing.
#include "Records.h"

#include "CallerEndpoint.h"
#include "TargetClient.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat::PlatformAdapter
{

class RecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordsTest);
    CPPUNIT_TEST(job_wellFormed_decoded);
    CPPUNIT_TEST(job_malformed_namedError);
    CPPUNIT_TEST(job_hugeNumbers_saturated);
    CPPUNIT_TEST(job_withGang_refusedAsUnsupported);
    CPPUNIT_TEST(job_notBestEffort_mustBeStored);
    CPPUNIT_TEST(target_wellFormed_decoded);
    CPPUNIT_TEST(target_damaged_namedError);
    CPPUNIT_TEST(configuration_wellFormed_decoded);
    CPPUNIT_TEST(configuration_damaged_namedError);
    CPPUNIT_TEST(records_encoded_decodedAgain);
    CPPUNIT_TEST(records_cutShort_error);
    CPPUNIT_TEST(crash_damaged_namedError);
    CPPUNIT_TEST(task_text_parsedAgain);
    CPPUNIT_TEST(task_foreignText_nothing);
    CPPUNIT_TEST(order_answers_decoded);
    CPPUNIT_TEST(end_outcomes_encodedTruthfully);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_wellFormed_decoded()
    {
        const auto job = decodeJob(R"({"spec":"text","best-effort":true,"steps":[
            {"count":4,"cpu":14000,"mem-mb":64,"est-ms":900},{"count":2,"cpu":500,"after":[0],"requires":"a"}]})");
        const auto &decoded = std::get<SubmittedJob>(job);
        CPPUNIT_ASSERT(!decoded.mustBeStored);
        CPPUNIT_ASSERT_EQUAL(std::string("text"), decoded.request.payload);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, decoded.request.steps.at(0).tasks);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 14000 }, decoded.request.steps.at(0).demand.milliCores);
        CPPUNIT_ASSERT(decoded.request.steps.at(0).estimate == std::chrono::milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, decoded.request.steps.at(1).predecessors.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), decoded.request.steps.at(1).requiredLabel);
    }

    void job_malformed_namedError()
    {
        for (const char *it : { "",
                                "[]",
                                "{\"spec\":\"x\"",
                                R"({"steps":[{"count":1}]})",
                                R"({"spec":7,"steps":[{"count":1}]})",
                                R"({"spec":"x","steps":{}})",
                                R"({"spec":"x","steps":[]})",
                                R"({"spec":"x","steps":[7]})",
                                R"({"spec":"x","steps":[{"count":0}]})",
                                R"({"spec":"x","steps":[{"count":-1}]})",
                                R"({"spec":"x","steps":[{"count":1.5}]})",
                                R"({"spec":"x","steps":[{"count":100000000000}]})",
                                R"({"spec":"x","steps":[{"count":1,"cpu":"all"}]})",
                                R"({"spec":"x","steps":[{"count":1,"after":[0]}]})",
                                R"({"spec":"x","steps":[{"count":1,"after":["a"]}]})",
                                R"({"spec":"x","steps":[{"count":300},{"count":300}]})" }) {
            const auto job = decodeJob(it);
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(job));
            CPPUNIT_ASSERT_MESSAGE(it, std::get<Error>(job).code == ErrorCode::Invalid);
            CPPUNIT_ASSERT_MESSAGE(it, !std::get<Error>(job).detail.empty());
        }
    }

    void job_hugeNumbers_saturated()
    {
        // 2^32 thousandths of a core must not become none, which would fit anywhere.
        const auto job = decodeJob(
            R"({"spec":"x","steps":[{"count":1,"cpu":4294967296,"mem-mb":4294967297,"est-ms":1000000000000000}]})");
        const JobStep step = std::get<SubmittedJob>(job).request.steps.at(0);
        CPPUNIT_ASSERT_EQUAL(UINT32_MAX, step.demand.milliCores);
        CPPUNIT_ASSERT_EQUAL(UINT32_MAX, step.demand.memoryMb);
        CPPUNIT_ASSERT(step.estimate > std::chrono::hours(24));
        CPPUNIT_ASSERT(step.estimate < std::chrono::hours(24 * 50));
    }

    void job_withGang_refusedAsUnsupported()
    {
        const auto job = decodeJob(R"({"spec":"x","steps":[{"count":2,"gang":true}]})");
        CPPUNIT_ASSERT(std::get<Error>(job).code == ErrorCode::Refused);
    }

    void job_notBestEffort_mustBeStored()
    {
        CPPUNIT_ASSERT(std::get<SubmittedJob>(decodeJob(R"({"spec":"x","steps":[{"count":1}]})")).mustBeStored);
    }

    void target_wellFormed_decoded()
    {
        const auto target = decodeTarget("i-1", kTarget);
        const auto &decoded = std::get<DispatchTarget>(target);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), decoded.name.value);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), decoded.rack);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 16000 }, decoded.capacity.milliCores);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1700000000123 }, decoded.incarnation);
        CPPUNIT_ASSERT(!decoded.draining);
    }

    void target_damaged_namedError()
    {
        for (const char *it : { "", "\xff\xfe", "{}", "null" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeTarget("i-1", it)));
        }
        for (const char *it : { "ready", "16000", "\"huvo\"", "\"10.128.0.9:8080\"" }) {
            QByteArray damaged = kTarget;
            damaged.replace(it, it[0] == '"' ? "7" : "\"odd\"");
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeTarget("i-1", damaged)));
        }
    }

    void configuration_wellFormed_decoded()
    {
        const auto read = decodeConfiguration(kConfiguration);
        const auto &configuration = std::get<ConfigurationRecord>(read).configuration;
        CPPUNIT_ASSERT(std::get<ConfigurationRecord>(read).rejected.empty());
        CPPUNIT_ASSERT(configuration.version == ConfigVersion(7));
        const FleetRoute &route = configuration.routes.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("/lohu930/"), route.pathPrefix);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 3 }, route.attempts);
        CPPUNIT_ASSERT(route.latencyTarget == std::chrono::milliseconds(60));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6, route.stretch, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 262144 }, configuration.bodyBytes);
        CPPUNIT_ASSERT(configuration.headerTimeout == std::chrono::milliseconds(3500));
    }

    void configuration_damaged_namedError()
    {
        CPPUNIT_ASSERT(!isOk(decodeConfiguration("{}")));
        QByteArray damaged = kConfiguration;
        damaged.replace("\"version\":7", "\"version\":\"7\"");
        CPPUNIT_ASSERT(!isOk(decodeConfiguration(damaged)));
        damaged = kConfiguration;
        damaged.replace("\"host\":\"h\",", "");
        const auto read = decodeConfiguration(damaged);
        const auto &record = std::get<ConfigurationRecord>(read);
        CPPUNIT_ASSERT(record.configuration.routes.empty());
        CPPUNIT_ASSERT(record.rejected.at(0).detail.find("host") != std::string::npos);
    }

    void records_encoded_decodedAgain()
    {
        QByteArray body(16, '\0');
        body[7] = 42;
        body[15] = 40;
        body += encodeRecord({ "key", QByteArray("value") }) + encodeRecord({ "gone", std::nullopt });
        const auto decoded = decodeRecords(body, 40);
        const auto &page = std::get<RecordPage>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 42 }, page.end);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 42 }, page.next);
        CPPUNIT_ASSERT_EQUAL(std::string("key"), page.records.at(0).key);
        CPPUNIT_ASSERT(*page.records.at(0).value == "value");
        CPPUNIT_ASSERT(!page.records.at(1).value);
    }

    void records_cutShort_error()
    {
        const QByteArray whole = QByteArray(16, '\0') + encodeRecord({ "key", QByteArray("value") });
        for (qsizetype n = 0; n < whole.size(); ++n) {
            if (n != 16) {
                CPPUNIT_ASSERT(!isOk(decodeRecords(whole.left(n), 0)));
            }
        }
    }

    void crash_damaged_namedError()
    {
        const std::string key = crashKey({ TargetName("i-1"), 17 });
        CPPUNIT_ASSERT(isOk(decodeCrash(key, R"({"tasks":[["5c0e7a21d94b36f8.0.1.17",true]]})")));
        for (const char *it : { "", "i-1", "/i-1", "x/i-1", "17/" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeCrash(it, R"({"tasks":[]})")));
        }
        for (const char *it : { "", "{}", R"({"tasks":7})", R"({"tasks":[7]})", R"({"tasks":[["no task",true]]})" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeCrash(key, it)));
        }
    }

    void task_text_parsedAgain()
    {
        const TaskName task { JobId("5c0e7a21d94b36f8"), 1, 17 };
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1.17"), taskText(task));
        CPPUNIT_ASSERT(parseTask(taskText(task)) == task);
    }

    void task_foreignText_nothing()
    {
        for (const char *it : { "", "a", "a.b", "a.0.1", "a.0.x.1", "a.0.1.", ".0.1.2" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !parseTask(it));
        }
    }

    void order_answers_decoded()
    {
        const auto answer = [](unsigned status, const char *body) {
            return decodeOrderResult({ CallEnd::Answered, status, body, "" }).status;
        };
        CPPUNIT_ASSERT(answer(200, R"({"clock-ms":5})") == CommandStatus::Accepted);
        CPPUNIT_ASSERT(answer(409, R"({"clock-ms":5,"reason":"fence"})") == CommandStatus::Fenced);
        CPPUNIT_ASSERT(answer(409, R"({"clock-ms":5,"reason":"old"})") == CommandStatus::StaleRun);
        CPPUNIT_ASSERT(answer(409, R"({"clock-ms":5,"reason":"late"})") == CommandStatus::LeaseExpired);
        CPPUNIT_ASSERT(answer(409, R"({"clock-ms":5,"reason":"room"})") == CommandStatus::InsufficientCapacity);
        CPPUNIT_ASSERT(answer(421, "") == CommandStatus::IncarnationMismatch);
        CPPUNIT_ASSERT(answer(503, "not JSON") == CommandStatus::Rejected);
        CPPUNIT_ASSERT(decodeOrderResult({ CallEnd::Lost, 0, "", "" }).status == CommandStatus::NoResponse);
        CPPUNIT_ASSERT(decodeOrderResult({ CallEnd::NotSent, 0, "", "" }).status == CommandStatus::NotSent);
        CPPUNIT_ASSERT(decodeOrderResult({ CallEnd::Answered, 200, R"({"clock-ms":5})", "" }).clock.count() == 5);
    }

    void end_outcomes_encodedTruthfully()
    {
        const auto status = [](JobOutcome outcome, JobEndReason reason) {
            JobEnd end;
            end.outcome = outcome;
            end.reason = reason;
            end.retryAfter = std::chrono::milliseconds(1200);
            return encodeEnd(end);
        };
        CPPUNIT_ASSERT_EQUAL(200U, status(JobOutcome::Complete, JobEndReason::None).status);
        CPPUNIT_ASSERT_EQUAL(502U, status(JobOutcome::Abandoned, JobEndReason::DispatcherLost).status);
        CPPUNIT_ASSERT_EQUAL(504U, status(JobOutcome::Expired, JobEndReason::DeadlinePassed).status);
        CPPUNIT_ASSERT_EQUAL(404U, status(JobOutcome::Refused, JobEndReason::UnknownRoute).status);
        const HttpResponse refusal = status(JobOutcome::Refused, JobEndReason::TooLate);
        CPPUNIT_ASSERT_EQUAL(429U, refusal.status);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, refusal.retryAfterSeconds);
    }

private:
    const QByteArray kTarget = R"({"service":"huvo","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,
        "state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],
        "clock-ms":482113,"sequence":4,"born":1700000000123})";
    const QByteArray kConfiguration = R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/lohu930/",
        "kind":"unsafe","timeout-ms":1500,"target-latency-ms":60,"priority":0,"service":"huvo","attempts":3,
        "stretch":1.6}],"services":[],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,
        "header-timeout-ms":3500,"idle-timeout-ms":15000}})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

} // namespace Eelgrasscleat::PlatformAdapter
