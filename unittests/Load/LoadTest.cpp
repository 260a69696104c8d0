/// @file
/// The load tool's decisions: the same seed gives the same arrivals, quantiles are right, and every kind of broken
/// promise is found.
#include "../../lib/Load/ArrivalSource.h"
#include "../../lib/Load/OutcomeChecker.h"
#include "../../lib/Load/RatioHistogram.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace Eelgrasscleat
{

static LoadOptions makeOptions(std::uint64_t seed)
{
    LoadOptions options;
    options.entries.resize(3);
    options.seed = seed;
    options.rate = 500;
    options.duration = std::chrono::seconds(20);
    options.resubmitFraction = 0.3;
    options.cancelFraction = 0.1;
    return options;
}

class ArrivalSourceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArrivalSourceTest);
    CPPUNIT_TEST(next_sameSeed_sameArrivals);
    CPPUNIT_TEST(next_wholeRun_matchesRateAndFractions);
    CPPUNIT_TEST(histogram_knownValues_quantilesWithinOneBucket);
    CPPUNIT_TEST(histogram_empty_isZero);
    CPPUNIT_TEST_SUITE_END();

public:
    void next_sameSeed_sameArrivals()
    {
        ArrivalSource first(makeOptions(7));
        ArrivalSource second(makeOptions(7));
        ArrivalSource other(makeOptions(8));
        bool differs = false;
        for (int n = 0; n < 1000; ++n) {
            const auto a = first.next();
            const auto b = second.next();
            CPPUNIT_ASSERT(a->at == b->at && a->entry == b->entry && a->runMs == b->runMs);
            differs = differs || a->at != other.next()->at;
        }
        CPPUNIT_ASSERT(differs);
    }

    void next_wholeRun_matchesRateAndFractions()
    {
        ArrivalSource source(makeOptions(1));
        double count = 0;
        double requests = 0;
        double resubmissions = 0;
        double cancels = 0;
        Duration last { 0 };
        while (const auto arrival = source.next()) {
            CPPUNIT_ASSERT(arrival->at >= last);
            CPPUNIT_ASSERT(arrival->longestRunMs() >= 50 && arrival->longestRunMs() <= 1000);
            CPPUNIT_ASSERT(arrival->runMs.size() <= 20);
            last = arrival->at;
            ++count;
            requests += arrival->kind == schema::SUBMISSION_KIND_REQUEST ? 1 : 0;
            resubmissions += arrival->resubmission ? 1 : 0;
            cancels += arrival->cancel ? 1 : 0;
        }
        // Five standard deviations of a Poisson count of 10,000, and of the fractions of it.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, count, 500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, requests / count, 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, resubmissions / count, 0.025);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, cancels / count, 0.015);
    }

    void histogram_knownValues_quantilesWithinOneBucket()
    {
        RatioHistogram histogram;
        for (int n = 1; n <= 1000; ++n) {
            histogram.add(n / 100.0);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, histogram.quantile(0.5), 0.06);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9.9, histogram.quantile(0.99), 0.11);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, histogram.quantile(1), 1e-9);
        const schema::RatioSummary summary = histogram.summary();
        std::uint64_t total = 0;
        for (const auto &it : summary.buckets()) {
            total += it.count();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), total);
    }

    void histogram_empty_isZero()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, RatioHistogram().quantile(0.99));
    }
};

class OutcomeCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutcomeCheckerTest);
    CPPUNIT_TEST(answered_rightAnswerAndStarts_noViolation);
    CPPUNIT_TEST(answered_otherKey_isViolation);
    CPPUNIT_TEST(answered_tooFewResults_isPartial);
    CPPUNIT_TEST(answered_resultsSwapped_isWrongResult);
    CPPUNIT_TEST(answered_resultsOfFailed_isPartial);
    CPPUNIT_TEST(answered_unreadableWithStatus200_isViolation);
    CPPUNIT_TEST(answered_serverRefusal_isCountedOnly);
    CPPUNIT_TEST(answered_notRunAndComplete_isContradiction);
    CPPUNIT_TEST(start_afterNotRun_isViolation);
    CPPUNIT_TEST(start_refusedAfterNotRun_isWasteOnly);
    CPPUNIT_TEST(start_jobTaskTwice_isViolation);
    CPPUNIT_TEST(start_idempotentRequestTwice_isCountedOnly);
    CPPUNIT_TEST(start_missingForComplete_isViolation);
    CPPUNIT_TEST(finish_noAnswer_countsUnanswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_checker.submitted("k", { "a", "b" }, false);
        m_answer.set_key("k");
        m_answer.set_status(schema::ANSWER_STATUS_COMPLETE);
        m_answer.set_certainty(schema::RUN_CERTAINTY_RAN);
        m_answer.add_results()->set_output("done:a");
        m_answer.add_results()->set_output("done:b");
    }

    void answered_rightAnswerAndStarts_noViolation()
    {
        answer(200);
        start(0, schema::START_DISPOSITION_REFUSED);
        start(0, schema::START_DISPOSITION_RUN);
        start(1, schema::START_DISPOSITION_RUN);
        expectOnly(schema::VIOLATION_KIND_UNSPECIFIED);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, m_report.starts().wasted_per_task(), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.starts().wasted_by_submission(1).count());
    }

    void answered_otherKey_isViolation()
    {
        m_answer.set_key("other");
        answer(200);
        expectOnly(schema::VIOLATION_KIND_OTHER_KEY);
    }

    void answered_tooFewResults_isPartial()
    {
        m_answer.mutable_results()->RemoveLast();
        answer(200);
        startBoth();
        expectOnly(schema::VIOLATION_KIND_PARTIAL);
    }

    void answered_resultsSwapped_isWrongResult()
    {
        m_answer.mutable_results()->SwapElements(0, 1);
        answer(200);
        startBoth();
        expectOnly(schema::VIOLATION_KIND_WRONG_RESULT);
    }

    void answered_resultsOfFailed_isPartial()
    {
        m_answer.set_status(schema::ANSWER_STATUS_FAILED);
        answer(502);
        startBoth();
        expectOnly(schema::VIOLATION_KIND_PARTIAL);
    }

    void answered_unreadableWithStatus200_isViolation()
    {
        CPPUNIT_ASSERT(!m_checker.answered("k", 200, "<html>"));
        expectOnly(schema::VIOLATION_KIND_UNREADABLE);
    }

    void answered_serverRefusal_isCountedOnly()
    {
        CPPUNIT_ASSERT(!m_checker.answered("k", 503, "{\"error\":\"too_many_connections\"}"));
        expectOnly(schema::VIOLATION_KIND_UNSPECIFIED);
        CPPUNIT_ASSERT_EQUAL(503U, m_report.refusals(0).status());
    }

    void answered_notRunAndComplete_isContradiction()
    {
        answer(200);
        refuseAsNotRun();
        m_checker.finish(false, m_report);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.violations());
        CPPUNIT_ASSERT_EQUAL(schema::VIOLATION_KIND_CONTRADICTION, m_report.first_violations(0).kind());
    }

    void start_afterNotRun_isViolation()
    {
        refuseAsNotRun();
        start(1, schema::START_DISPOSITION_DROPPED);
        expectOnly(schema::VIOLATION_KIND_NOT_RUN_STARTED);
    }

    void start_refusedAfterNotRun_isWasteOnly()
    {
        refuseAsNotRun();
        start(1, schema::START_DISPOSITION_REFUSED);
        expectOnly(schema::VIOLATION_KIND_UNSPECIFIED);
    }

    void start_jobTaskTwice_isViolation()
    {
        answer(200);
        startBoth();
        start(1, schema::START_DISPOSITION_RUN);
        expectOnly(schema::VIOLATION_KIND_STARTED_TWICE);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.starts().started_twice());
    }

    void start_idempotentRequestTwice_isCountedOnly()
    {
        m_checker.submitted("r", { "a" }, true);
        for (int n = 0; n < 2; ++n) {
            m_checker.startRecorded(makeStart("r", 0, schema::START_DISPOSITION_RUN));
        }
        expectOnly(schema::VIOLATION_KIND_UNSPECIFIED);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.starts().repeated_requests());
    }

    void start_missingForComplete_isViolation()
    {
        answer(200);
        start(0, schema::START_DISPOSITION_RUN);
        expectOnly(schema::VIOLATION_KIND_COMPLETE_NOT_STARTED);
    }

    void finish_noAnswer_countsUnanswered()
    {
        expectOnly(schema::VIOLATION_KIND_UNSPECIFIED);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_report.unanswered());
    }

private:
    void answer(unsigned httpStatus)
    {
        CPPUNIT_ASSERT(m_checker.answered("k", httpStatus, toJson(m_answer)).has_value());
    }

    void refuseAsNotRun()
    {
        schema::SubmissionAnswer refusal;
        refusal.set_key("k");
        refusal.set_status(schema::ANSWER_STATUS_FAILED);
        refusal.set_reason(schema::FAILURE_REASON_QUEUE_FULL);
        refusal.set_certainty(schema::RUN_CERTAINTY_NOT_RUN);
        CPPUNIT_ASSERT(m_checker.answered("k", 429, toJson(refusal)).has_value());
    }

    static schema::StartRecord
    makeStart(const std::string &submission, std::uint32_t task, schema::StartDisposition disposition)
    {
        schema::StartRecord record;
        record.set_submission(submission);
        record.set_task(task);
        record.set_disposition(disposition);
        return record;
    }

    void start(std::uint32_t task, schema::StartDisposition disposition)
    {
        m_checker.startRecorded(makeStart("k", task, disposition));
    }

    void startBoth()
    {
        start(0, schema::START_DISPOSITION_RUN);
        start(1, schema::START_DISPOSITION_RUN);
    }

    /// Finishes and expects violations of that kind and no other; UNSPECIFIED: none at all.
    void expectOnly(schema::ViolationKind kind)
    {
        m_checker.finish(true, m_report);
        const bool none = kind == schema::VIOLATION_KIND_UNSPECIFIED;
        CPPUNIT_ASSERT_EQUAL(none, m_report.violations() == 0);
        for (const auto &it : m_report.first_violations()) {
            CPPUNIT_ASSERT_EQUAL(schema::ViolationKind_Name(kind), schema::ViolationKind_Name(it.kind()));
        }
    }

    OutcomeChecker m_checker;
    schema::SubmissionAnswer m_answer;
    schema::LoadReport m_report;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalSourceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeCheckerTest);

} // namespace Eelgrasscleat
