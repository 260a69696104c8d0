/// @file
/// Tests of ClaimWriter: batching, rate limit, and that claims that may be written are never reported as not written.
#include "../../lib/Entry/ClaimWriter.h"

#include <eelgrasscleat/Support/Schema.h>

#include <records.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ClaimWriterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimWriterTest);
    CPPUNIT_TEST(startAppend_severalClaims_areOneRecord);
    CPPUNIT_TEST(startAppend_withinInterval_waits);
    CPPUNIT_TEST(startAppend_appendInProgress_waits);
    CPPUNIT_TEST(completeAppend_unavailable_returnsClaimsAsNotWritten);
    CPPUNIT_TEST(completeAppend_answerLost_keepsClaimsUnconfirmedAndRetries);
    CPPUNIT_TEST(completeAppend_retryUnavailable_keepsClaimsUnconfirmed);
    CPPUNIT_TEST(completeAppend_limitExceeded_retries);
    CPPUNIT_TEST(confirm_unconfirmedClaim_isNotRetried);
    CPPUNIT_TEST_SUITE_END();

public:
    void startAppend_severalClaims_areOneRecord()
    {
        m_writer.add(First);
        m_writer.add(Second);
        const auto batch = startBatch();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, batch.incarnation());
        CPPUNIT_ASSERT_EQUAL(4, batch.digests_size());
        CPPUNIT_ASSERT_EQUAL(Second.low, batch.digests(3));
    }

    void startAppend_withinInterval_waits()
    {
        m_writer.add(First);
        startBatch();
        m_writer.completeAppend(std::uint64_t { 0 }, m_now);
        m_writer.add(Second);
        m_now += Interval / 2;
        CPPUNIT_ASSERT(!m_writer.startAppend(m_now));
        m_now += Interval / 2;
        CPPUNIT_ASSERT(m_writer.startAppend(m_now).has_value());
    }

    void startAppend_appendInProgress_waits()
    {
        m_writer.add(First);
        startBatch();
        m_writer.add(Second);
        m_now += Interval * 2;
        CPPUNIT_ASSERT(!m_writer.startAppend(m_now));
    }

    void completeAppend_unavailable_returnsClaimsAsNotWritten()
    {
        m_writer.add(First);
        startBatch();
        const auto claims = m_writer.completeAppend(failure(ErrorCode::Unavailable), m_now);
        CPPUNIT_ASSERT(claims == std::vector { First });
        CPPUNIT_ASSERT(!m_writer.needsRead());
    }

    void completeAppend_answerLost_keepsClaimsUnconfirmedAndRetries()
    {
        m_writer.add(First);
        startBatch();
        CPPUNIT_ASSERT(m_writer.completeAppend(failure(ErrorCode::TimedOut), m_now).empty());
        CPPUNIT_ASSERT(m_writer.needsRead());
        m_now += RetryTime;
        CPPUNIT_ASSERT_EQUAL(2, startBatch().digests_size());
    }

    void completeAppend_retryUnavailable_keepsClaimsUnconfirmed()
    {
        m_writer.add(First);
        startBatch();
        m_writer.completeAppend(failure(ErrorCode::Lost), m_now);
        m_now += RetryTime;
        startBatch();
        CPPUNIT_ASSERT(m_writer.completeAppend(failure(ErrorCode::Unavailable), m_now).empty());
        CPPUNIT_ASSERT(m_writer.needsRead());
    }

    void completeAppend_limitExceeded_retries()
    {
        m_writer.add(First);
        startBatch();
        CPPUNIT_ASSERT(m_writer.completeAppend(failure(ErrorCode::LimitExceeded), m_now).empty());
        m_now += Interval;
        CPPUNIT_ASSERT_EQUAL(2, startBatch().digests_size());
    }

    void confirm_unconfirmedClaim_isNotRetried()
    {
        m_writer.add(First);
        startBatch();
        m_writer.completeAppend(failure(ErrorCode::Lost), m_now);
        m_writer.confirm(First);
        m_now += RetryTime;
        CPPUNIT_ASSERT(!m_writer.startAppend(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_writer.pending());
    }

private:
    static constexpr Digest First { 1, 2 };
    static constexpr Digest Second { 3, 4 };
    static constexpr Duration Interval = std::chrono::milliseconds(30);
    /// Longer than the delay before a retry.
    static constexpr Duration RetryTime = std::chrono::seconds(5);

    static Result<std::uint64_t> failure(ErrorCode code)
    {
        return Error { code, Step::AppendRecord, "platform", "" };
    }

    schema::ClaimBatch startBatch()
    {
        const auto record = m_writer.startAppend(m_now);
        CPPUNIT_ASSERT(record.has_value());
        schema::ClaimBatch batch;
        CPPUNIT_ASSERT(batch.ParseFromString(*record));
        return batch;
    }

    Instant m_now { std::chrono::seconds(100) };
    ClaimWriter m_writer { IncarnationId(9), Interval };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimWriterTest);

} // namespace Eelgrasscleat
