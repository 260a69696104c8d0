/// @file
/// Checks what callers were promised: each answer against its submission, and all answers against the starts that
/// targets recorded.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <load.pb.h>
#include <standin.pb.h>
#include <submission.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Eelgrasscleat
{

/// Checker of one run. No clock, no socket.
class OutcomeChecker
{
public:
    /// A submission is about to be sent.
    /// @param repeatable whether its task may start more than once
    void submitted(const std::string &key, std::vector<std::string> payloads, bool repeatable);
    /// An answer arrived for that submission.
    /// @returns its status, or nothing if the body is no SubmissionAnswer.
    std::optional<schema::AnswerStatus> answered(const std::string &key, unsigned httpStatus, const std::string &body);
    /// A target recorded a start. Starts of other runs are ignored.
    void startRecorded(const schema::StartRecord &record);
    /// Compares answers with starts and fills in the parts of the report that this checker knows.
    /// @param startsKnown whether the records of all targets were read
    void finish(bool startsKnown, schema::LoadReport &report);

private:
    struct Expected
    {
        std::vector<std::string> payloads;
        std::vector<std::uint32_t> starts; ///< By task.
        std::uint32_t received = 0; ///< Starts, refused ones included.
        bool repeatable = false;
        bool complete = false;
        bool notRun = false;
        bool ran = false;
        bool failed = false;
    };

    void checkAnswer(const std::string &key, Expected &expected, const schema::SubmissionAnswer &answer);
    void checkResults(const std::string &key, const Expected &expected, const schema::SubmissionAnswer &answer);
    void checkStarts(const std::string &key, const Expected &expected, schema::StartSummary &summary);
    void summarizeStarts(schema::StartSummary &summary);
    void addViolation(schema::ViolationKind kind, const std::string &key, const std::string &detail);

    struct AnswerKind
    {
        schema::AnswerStatus status = schema::ANSWER_STATUS_UNSPECIFIED;
        schema::FailureReason reason = schema::FAILURE_REASON_NONE;
        schema::RunCertainty certainty = schema::RUN_CERTAINTY_UNSPECIFIED;
        bool operator<(const AnswerKind &other) const
        {
            return std::tie(status, reason, certainty) < std::tie(other.status, other.reason, other.certainty);
        }
    };

    std::map<std::string, Expected> m_expected;
    std::map<AnswerKind, std::uint64_t> m_answers;
    std::map<unsigned, std::uint64_t> m_refusals;
    std::vector<schema::Violation> m_violations;
    std::uint64_t m_violationCount = 0;
};

} // namespace Eelgrasscleat
