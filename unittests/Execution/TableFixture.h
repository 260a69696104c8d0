/// @file
/// One table with a clock, and short ways to drive it and to look at its actions.
#pragma once

#include <eelgrasscleat/Execution/SubmissionTable.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Base of the fixtures.
class TableFixture : public CppUnit::TestFixture
{
protected:
    static constexpr IncarnationId Self { 7 };
    static constexpr IncarnationId Other { 9 };
    static constexpr std::uint64_t StartMs = 1'000'000'000;

    static SubmissionTableSettings defaultSettings()
    {
        SubmissionTableSettings settings;
        settings.maxCachedAnswers = 100;
        settings.answerRetention = std::chrono::seconds(60);
        settings.maxAge = std::chrono::seconds(600);
        settings.maxSkew = std::chrono::seconds(1);
        return settings;
    }

    static schema::Submission job(const std::string &key, int tasks, const std::string &ticket)
    {
        schema::Submission submission;
        submission.set_customer("club");
        submission.set_key(key);
        submission.set_ticket(ticket);
        submission.set_created_ms(StartMs);
        for (int i = 0; i < tasks; ++i) {
            submission.add_tasks()->set_payload(std::to_string(i));
        }
        return submission;
    }

    static schema::Submission request(const std::string &key)
    {
        schema::Submission submission = job(key, 1, ticketOf(Self));
        submission.set_kind(schema::SUBMISSION_KIND_REQUEST);
        return submission;
    }

    static Digest digestOf(const std::string &key)
    {
        return submissionDigest(CustomerName("club"), key);
    }

    void submit(const schema::Submission &submission, std::uint64_t caller, bool idempotent = false)
    {
        m_table.submit(submission, { idempotent }, CallerId(caller), false, m_clock, m_out);
    }

    void cancel(const std::string &key, std::uint64_t caller)
    {
        m_table.cancel(CustomerName("club"), key, CallerId(caller), m_clock, m_out);
    }

    void readClaim(const std::string &key, IncarnationId claimant)
    {
        m_table.applyClaim(digestOf(key), claimant, m_clock, m_out);
    }

    AttemptId begin(SubmissionId submission, std::uint32_t task = 0)
    {
        const auto attempt = m_table.beginAttempt({ submission, task }, m_clock);
        CPPUNIT_ASSERT(attempt);
        return *attempt;
    }

    std::optional<RetryDecision> end(AttemptId attempt, AttemptOutcome outcome, const std::string &output = {})
    {
        return m_table.endAttempt(attempt, outcome, output, m_clock, m_out);
    }

    void advance(Duration by)
    {
        m_clock.now += by;
        m_clock.wall += std::chrono::duration_cast<std::chrono::milliseconds>(by);
        m_table.tick(m_clock, m_out);
    }

    /// @returns the only action of its kind since the last look, and forgets all actions.
    template <typename Action>
    Action only()
    {
        const auto found = all<Action>();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, found.size());
        return found.front();
    }

    /// @returns the actions of a kind since the last look, and forgets all actions.
    template <typename Action>
    std::vector<Action> all()
    {
        std::vector<Action> found;
        for (const ExecutionAction &action : m_out) {
            if (const auto *it = std::get_if<Action>(&action)) {
                found.push_back(*it);
            }
        }
        m_out.clear();
        return found;
    }

    /// Asserts that exactly one caller was answered, in this way.
    schema::SubmissionAnswer
    expectFailure(std::uint64_t caller, schema::FailureReason reason, schema::RunCertainty certainty)
    {
        const auto answered = only<AnswerCaller>();
        CPPUNIT_ASSERT_EQUAL(caller, answered.caller.value);
        CPPUNIT_ASSERT_EQUAL(schema::FailureReason_Name(reason), schema::FailureReason_Name(answered.answer.reason()));
        CPPUNIT_ASSERT_EQUAL(schema::RunCertainty_Name(certainty),
                             schema::RunCertainty_Name(answered.answer.certainty()));
        CPPUNIT_ASSERT(answered.answer.status() == schema::ANSWER_STATUS_FAILED);
        return answered.answer;
    }

    ClockReading m_clock { Instant(std::chrono::hours(1)), WallTime(std::chrono::milliseconds(StartMs)) };
    ExecutionActions m_out;
    SubmissionTable m_table { Self, defaultSettings() };
};

} // namespace Eelgrasscleat
