/// @file
/// Registration and update of the decision thread's metrics.
#include "MetricsObserver.h"

#include <eelgrasscleat/Support/Log.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace Eelgrasscleat
{

MetricsObserver::MetricsObserver(Metrics &metrics)
    : m_metrics(metrics)
    , m_starts(metrics.counter("eelgrasscleat_task_starts_total", "", "", "Starts handed to the targets' thread"))
    , m_forwards(metrics.counter("eelgrasscleat_forwards_total", "", "", "Submissions passed to their home"))
    , m_configVersion(metrics.gauge("eelgrasscleat_config_version", "", "", "Version of the configuration in force"))
{
    // Counters for all reasons are registered at start, so that dashboards show zero instead of missing data.
    for (int i = schema::FailureReason_MIN; i <= schema::FailureReason_MAX; ++i) {
        const auto reason = static_cast<schema::FailureReason>(i);
        m_answers[reason] = &metrics.counter("eelgrasscleat_answers_total",
                                             "reason",
                                             schema::FailureReason_Name(reason).substr(sizeof("FAILURE_REASON")),
                                             "Answers to callers by reason");
    }
    for (const auto outcome : { AttemptOutcome::Done,
                                AttemptOutcome::Failed,
                                AttemptOutcome::RefusedBusy,
                                AttemptOutcome::RefusedLeaving,
                                AttemptOutcome::NotSent,
                                AttemptOutcome::Lost }) {
        m_outcomes[outcome] = &metrics.counter(
            "eelgrasscleat_attempts_total", "outcome", attemptOutcomeName(outcome), "Attempts by outcome");
    }
    for (const auto decision : { RetryDecision::RetriedNotSent,
                                 RetryDecision::RetriedRefused,
                                 RetryDecision::RetriedIdempotent,
                                 RetryDecision::RefusedByBudget,
                                 RetryDecision::RefusedMayHaveRun }) {
        metrics.counter("eelgrasscleat_retries_total", "decision", retryDecisionName(decision), "Retries by decision");
    }
}

void MetricsObserver::callerAnswered(schema::FailureReason reason)
{
    m_answers.at(reason)->Increment();
}

void MetricsObserver::taskStarted()
{
    m_starts.Increment();
}

void MetricsObserver::attemptEnded(AttemptOutcome outcome)
{
    m_outcomes.at(outcome)->Increment();
}

void MetricsObserver::retryDecided(RetryDecision decision)
{
    m_metrics.counter("eelgrasscleat_retries_total", "decision", retryDecisionName(decision), "Retries by decision")
        .Increment();
}

void MetricsObserver::submissionForwarded()
{
    m_forwards.Increment();
}

void MetricsObserver::configApplied(std::uint64_t version)
{
    m_configVersion.Set(static_cast<double>(version));
    writeLog(LogLevel::Info, "configuration applied", { { "step", "apply_config" }, { "version", version } });
}

void MetricsObserver::platformCallFailed(const Error &error)
{
    m_metrics
        .counter("eelgrasscleat_platform_errors_total", "step", stepName(error.step), "Failed calls of the platform")
        .Increment();
    writeLog(LogLevel::Debug,
             "platform call failed",
             { { "step", std::string(stepName(error.step)) }, { "peer", error.peer }, { "detail", error.detail } });
}

} // namespace Eelgrasscleat
