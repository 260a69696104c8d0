/// @file
/// Keeps every submission of the run until its end, since a start may be recorded after the answer that denies it.
#include "OutcomeChecker.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace Eelgrasscleat
{

/// Violations that a report shows in full; all are counted.
static constexpr std::size_t ShownViolations = 20;

/// HTTP status of a complete submission.
static constexpr unsigned HttpOk = 200;

/// Wasted starts of one submission are counted apart up to this number.
static constexpr std::size_t WasteBuckets = 4;

void OutcomeChecker::submitted(const std::string &key, std::vector<std::string> payloads, bool repeatable)
{
    Expected expected;
    expected.starts.resize(payloads.size());
    expected.payloads = std::move(payloads);
    expected.repeatable = repeatable;
    m_expected.emplace(key, std::move(expected));
}

std::optional<schema::AnswerStatus>
OutcomeChecker::answered(const std::string &key, unsigned httpStatus, const std::string &body)
{
    const auto it = m_expected.find(key);
    assert(it != m_expected.end() && "only submissions of this run are answered");
    schema::SubmissionAnswer answer;
    if (!isOk(fromJson(body, answer))) {
        if (httpStatus == HttpOk) {
            addViolation(schema::VIOLATION_KIND_UNREADABLE, key, body.substr(0, 200));
        }
        ++m_refusals[httpStatus];
        return std::nullopt;
    }
    ++m_answers[AnswerKind { answer.status(), answer.reason(), answer.certainty() }];
    checkAnswer(key, it->second, answer);
    return answer.status();
}

void OutcomeChecker::checkAnswer(const std::string &key, Expected &expected, const schema::SubmissionAnswer &answer)
{
    // A refusal before the submission was read can't know its key.
    const bool mayLackKey = answer.status() == schema::ANSWER_STATUS_FAILED && answer.key().empty();
    if (answer.key() != key && !mayLackKey) {
        addViolation(schema::VIOLATION_KIND_OTHER_KEY, key, "the answer's key is " + answer.key());
        return;
    }
    if (answer.status() == schema::ANSWER_STATUS_COMPLETE) {
        expected.complete = true;
        checkResults(key, expected, answer);
    } else if (answer.results_size() > 0) {
        addViolation(schema::VIOLATION_KIND_PARTIAL, key, "results in an answer that is not complete");
    }
    expected.failed = expected.failed || answer.status() == schema::ANSWER_STATUS_FAILED;
    expected.notRun = expected.notRun || answer.certainty() == schema::RUN_CERTAINTY_NOT_RUN;
    expected.ran = expected.ran || expected.complete || answer.certainty() == schema::RUN_CERTAINTY_RAN;
}

void OutcomeChecker::checkResults(const std::string &key,
                                  const Expected &expected,
                                  const schema::SubmissionAnswer &answer)
{
    const auto count = static_cast<std::size_t>(answer.results_size());
    if (count != expected.payloads.size()) {
        addViolation(schema::VIOLATION_KIND_PARTIAL,
                     key,
                     std::to_string(count) + " results for " + std::to_string(expected.payloads.size()) + " tasks");
        return;
    }
    for (std::size_t index = 0; index < count; ++index) {
        const std::string &output = answer.results(static_cast<int>(index)).output();
        if (output != "done:" + expected.payloads[index]) {
            addViolation(schema::VIOLATION_KIND_WRONG_RESULT,
                         key,
                         "task " + std::to_string(index) + ": " + output.substr(0, 200));
        }
    }
}

void OutcomeChecker::startRecorded(const schema::StartRecord &record)
{
    const auto it = m_expected.find(record.submission());
    if (it == m_expected.end() || record.task() >= it->second.starts.size()) {
        return;
    }
    ++it->second.received;
    if (record.disposition() != schema::START_DISPOSITION_REFUSED) {
        ++it->second.starts[record.task()];
    }
}

void OutcomeChecker::checkStarts(const std::string &key, const Expected &expected, schema::StartSummary &summary)
{
    for (std::size_t task = 0; task < expected.starts.size(); ++task) {
        const std::uint32_t starts = expected.starts[task];
        const std::string place = "task " + std::to_string(task);
        summary.set_started(summary.started() + starts);
        summary.set_tasks_started(summary.tasks_started() + (starts > 0 ? 1 : 0));
        if (starts > 0 && expected.notRun) {
            addViolation(schema::VIOLATION_KIND_NOT_RUN_STARTED, key, place);
        }
        if (starts == 0 && expected.complete) {
            addViolation(schema::VIOLATION_KIND_COMPLETE_NOT_STARTED, key, place);
        }
        if (starts < 2) {
            continue;
        }
        if (expected.repeatable) {
            summary.set_repeated_requests(summary.repeated_requests() + 1);
            continue;
        }
        summary.set_started_twice(summary.started_twice() + 1);
        addViolation(schema::VIOLATION_KIND_STARTED_TWICE, key, place + ": " + std::to_string(starts) + " starts");
    }
}

void OutcomeChecker::summarizeStarts(schema::StartSummary &summary)
{
    std::array<std::uint64_t, WasteBuckets + 1> wasted {};
    for (const auto &[key, expected] : m_expected) {
        checkStarts(key, expected, summary);
        summary.set_received(summary.received() + expected.received);
        const auto used = static_cast<std::size_t>(
            std::count_if(expected.starts.begin(), expected.starts.end(), [](std::uint32_t n) { return n > 0; }));
        ++wasted[std::min(expected.received - used, WasteBuckets)];
    }
    for (std::size_t index = 0; index <= WasteBuckets; ++index) {
        auto *bucket = summary.add_wasted_by_submission();
        bucket->set_up_to(index < WasteBuckets ? static_cast<double>(index) : 0);
        bucket->set_count(wasted[index]);
    }
    if (summary.tasks_started() > 0) {
        const auto extra = summary.received() - summary.tasks_started();
        summary.set_wasted_per_task(static_cast<double>(extra) / static_cast<double>(summary.tasks_started()));
    }
}

void OutcomeChecker::finish(bool startsKnown, schema::LoadReport &report)
{
    std::uint64_t unanswered = 0;
    for (const auto &[key, expected] : m_expected) {
        unanswered += expected.complete || expected.failed ? 0 : 1;
        if (expected.notRun && expected.ran) {
            addViolation(schema::VIOLATION_KIND_CONTRADICTION, key, "answered both as not run and as run");
        }
    }
    report.set_unanswered(unanswered);
    if (startsKnown) {
        summarizeStarts(*report.mutable_starts());
    }
    for (const auto &[kind, count] : m_answers) {
        auto *added = report.add_answers();
        added->set_status(kind.status);
        added->set_reason(kind.reason);
        added->set_certainty(kind.certainty);
        added->set_count(count);
    }
    for (const auto &[status, count] : m_refusals) {
        auto *added = report.add_refusals();
        added->set_status(status);
        added->set_count(count);
    }
    report.set_violations(m_violationCount);
    for (const schema::Violation &it : m_violations) {
        *report.add_first_violations() = it;
    }
}

void OutcomeChecker::addViolation(schema::ViolationKind kind, const std::string &key, const std::string &detail)
{
    ++m_violationCount;
    if (m_violations.size() >= ShownViolations) {
        return;
    }
    schema::Violation &added = m_violations.emplace_back();
    added.set_kind(kind);
    added.set_key(key);
    added.set_detail(detail);
}

} // namespace Eelgrasscleat
