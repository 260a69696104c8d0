/// @file
/// Metrics and log lines for the notifications of EntryCore.
#pragma once

#include <eelgrasscleat/Entry/EntryCore.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <map>

namespace Eelgrasscleat
{

/// Observer that updates the daemon's metrics, with one counter for each reason or outcome.
class MetricsObserver : public CoreObserver
{
public:
    explicit MetricsObserver(Metrics &metrics);

    void callerAnswered(schema::FailureReason reason) override;
    void taskStarted() override;
    void attemptEnded(AttemptOutcome outcome) override;
    void retryDecided(RetryDecision decision) override;
    void submissionForwarded() override;
    void configApplied(std::uint64_t version) override;
    void platformCallFailed(const Error &error) override;

private:
    Metrics &m_metrics;
    prometheus::Counter &m_starts;
    prometheus::Counter &m_forwards;
    prometheus::Gauge &m_configVersion;
    std::map<schema::FailureReason, prometheus::Counter *> m_answers;
    std::map<AttemptOutcome, prometheus::Counter *> m_outcomes;
};

} // namespace Eelgrasscleat
