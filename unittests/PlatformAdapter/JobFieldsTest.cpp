/// @file
/// Fields of callers' jobs: each that changes what the job means is honoured, or the job is refused with its name.
#include "CallerEndpoint.h"
#include "Records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace Eelgrasscleat::PlatformAdapter
{

class JobFieldsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobFieldsTest);
    CPPUNIT_TEST(job_scheduled_refusedAsUnsupported);
    CPPUNIT_TEST(job_unsupportedFieldAnywhere_refusedWithItsName);
    CPPUNIT_TEST(job_unsupportedFieldUnused_accepted);
    CPPUNIT_TEST(job_unsupportedFieldOfOtherType_malformed);
    CPPUNIT_TEST(job_hints_accepted);
    CPPUNIT_TEST(configuration_routeWithAdvice_needsTickets);
    CPPUNIT_TEST(configuration_routeWithoutAdvice_needsNoTickets);
    CPPUNIT_TEST(refusal_permanent_hasNoRetryAfter);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job with a schedule that is run at once, and only once.
    void job_scheduled_refusedAsUnsupported()
    {
        const auto job = decodeJob(R"({"spec":"x","best-effort":true,"repeats":2,"first-ms":1796000000000,
            "interval-ms":2000,"steps":[{"count":2,"cpu":1000,"mem-mb":64,"est-ms":100}]})");
        CPPUNIT_ASSERT(!isOk(job));
        CPPUNIT_ASSERT(std::get<Error>(job).code == ErrorCode::Refused);
    }

    /// Guards against a feature that is looked for in the steps alone, or in the job alone.
    void job_unsupportedFieldAnywhere_refusedWithItsName()
    {
        for (const std::string &name : kFlags) {
            assertRefused(name, "true");
        }
        for (const std::string &name : kNumbers) {
            assertRefused(name, "1");
            assertRefused(name, "1796000000000");
        }
    }

    void job_unsupportedFieldUnused_accepted()
    {
        for (const std::string &name : kFlags) {
            CPPUNIT_ASSERT_MESSAGE(name, isOk(decodeJob(ofJob(name, "false"))));
            CPPUNIT_ASSERT_MESSAGE(name, isOk(decodeJob(ofStep(name, "false"))));
        }
        for (const std::string &name : kNumbers) {
            CPPUNIT_ASSERT_MESSAGE(name, isOk(decodeJob(ofJob(name, "0"))));
            CPPUNIT_ASSERT_MESSAGE(name, isOk(decodeJob(ofStep(name, "0"))));
        }
    }

    void job_unsupportedFieldOfOtherType_malformed()
    {
        for (const std::string &name : kFlags) {
            for (const char *value : { "1", "\"true\"", "null", "[]" }) {
                assertMalformed(name, value);
            }
        }
        for (const std::string &name : kNumbers) {
            for (const char *value : { "-1", "0.5", "\"2\"", "null", "true", "{}", "1e300" }) {
                assertMalformed(name, value);
            }
        }
    }

    void job_hints_accepted()
    {
        for (const char *name : { "checkpointing", "same-rack", "allow-dup" }) {
            CPPUNIT_ASSERT_MESSAGE(name, isOk(decodeJob(ofStep(name, "true"))));
        }
        CPPUNIT_ASSERT(isOk(decodeJob(ofStep("image", "\"proof:7\""))));
    }

    void configuration_routeWithAdvice_needsTickets()
    {
        CPPUNIT_ASSERT(routeWith(R"(,"advice":{"decide-ms":20,"each-ms":1,"valid-ms":3000})").needsStartTickets);
    }

    void configuration_routeWithoutAdvice_needsNoTickets()
    {
        for (const char *it : { "", R"(,"advice":null)", R"(,"advice":{})" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !routeWith(it).needsStartTickets);
        }
    }

    /// Guards against a caller who is told to come back with a job that is never served.
    void refusal_permanent_hasNoRetryAfter()
    {
        JobEnd end;
        end.outcome = JobOutcome::Refused;
        end.reason = JobEndReason::Unsupported;
        end.retryAfter = std::chrono::milliseconds(1200);
        const HttpResponse response = encodeEnd(end);
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, response.retryAfterSeconds);
    }

private:
    static QByteArray ofJob(const std::string &name, const std::string &value)
    {
        return QByteArray::fromStdString(R"({"spec":"x","best-effort":true,")" + name + "\":" + value
                                         + R"(,"steps":[{"count":1}]})");
    }

    static QByteArray ofStep(const std::string &name, const std::string &value)
    {
        return QByteArray::fromStdString(R"({"spec":"x","best-effort":true,"steps":[{"count":1},{"count":1,")" + name
                                         + "\":" + value + "}]}");
    }

    static void assertRefused(const std::string &name, const std::string &value)
    {
        for (const QByteArray &it : { ofJob(name, value), ofStep(name, value) }) {
            const auto job = decodeJob(it);
            CPPUNIT_ASSERT_MESSAGE(it.toStdString(), !isOk(job));
            const Error &error = std::get<Error>(job);
            CPPUNIT_ASSERT_MESSAGE(it.toStdString(), error.code == ErrorCode::Refused);
            CPPUNIT_ASSERT_MESSAGE(error.detail, error.detail.find(name) != std::string::npos);
        }
    }

    static void assertMalformed(const std::string &name, const std::string &value)
    {
        for (const QByteArray &it : { ofJob(name, value), ofStep(name, value) }) {
            const auto job = decodeJob(it);
            CPPUNIT_ASSERT_MESSAGE(it.toStdString(), !isOk(job));
            CPPUNIT_ASSERT_MESSAGE(it.toStdString(), std::get<Error>(job).code == ErrorCode::Invalid);
        }
    }

    static FleetRoute routeWith(const std::string &fields)
    {
        const auto read = decodeConfiguration(QByteArray::fromStdString(
            R"({"version":3,"limits":{},"routes":[{"name":"r","host":"h","path-prefix":"/a/","service":"s")" + fields
            + "}]}"));
        return std::get<ConfigurationRecord>(read).configuration.routes.at(0);
    }

    const std::vector<std::string> kFlags = { "gang", "long-running", "fills" };
    const std::vector<std::string> kNumbers = { "repeats", "first-ms", "interval-ms", "target-ms", "may-miss" };
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobFieldsTest);

} // namespace Eelgrasscleat::PlatformAdapter
