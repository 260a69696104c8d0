/// @file
/// Rate limit of log lines, and the metrics beside them.
#include "DecisionLog.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

namespace Eelgrasscleat
{

namespace
{

/// Lines a second: a line costs about 2 us, so the log takes at most 0.3% of a core.
constexpr std::uint32_t kLinesPerSecond = 1500;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string runText(const RunName &run)
{
    return run.task.job.value + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + '/'
        + std::to_string(run.run);
}

} // namespace

DecisionLog::DecisionLog(Metrics &metrics)
    : m_metrics(metrics)
{
}

bool DecisionLog::mayWrite(Instant now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        if (m_dropped > 0) {
            writeLog(LogLevel::Warn, "log lines dropped", { { "lines", std::uint64_t { m_dropped } } });
        }
        m_second = now;
        m_written = 0;
        m_dropped = 0;
    }
    if (m_written >= kLinesPerSecond) {
        ++m_dropped;
        return false;
    }
    ++m_written;
    return true;
}

void DecisionLog::jobRouted(const JobRequest &job, const InstanceName &dispatcher, ConfigVersion version)
{
    if (!mayWrite(job.submitted)) {
        return;
    }
    writeLog(LogLevel::Info,
             "job routed",
             { { "job", job.id.value },
               { "request", job.requestId },
               { "customer", job.route.value },
               { "priority", std::uint64_t { job.priority } },
               { "left_ms", milliseconds(job.deadline - job.submitted) },
               { "config", version.value },
               { "dispatcher", dispatcher.value } });
}

void DecisionLog::jobAnswered(
    const JobEnd &end, const RouteName &route, const std::string &requestId, Duration took, Instant now)
{
    const std::string outcome(jobOutcomeName(end.outcome));
    const std::string reason(jobEndReasonName(end.reason));
    const std::string label = end.reason == JobEndReason::None ? outcome : outcome + ':' + reason;
    m_metrics.counter("eelgrasscleat_jobs_total", "end", label, "Jobs answered to callers, by outcome and reason")
        .Increment();
    m_metrics.latency("eelgrasscleat_job_ms", "outcome", outcome, "Time from a job's request to its answer, in ms")
        .Observe(std::chrono::duration<double, std::milli>(took).count());
    if (!mayWrite(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "job answered",
             { { "job", end.id.value },
               { "request", requestId },
               { "customer", route.value },
               { "outcome", outcome },
               { "reason", reason },
               { "took_ms", milliseconds(took) },
               { "retry_ms", milliseconds(end.retryAfter) } });
}

void DecisionLog::jobTooLate(const JobId &id, const LatenessEstimate &inputs, Instant now)
{
    if (!mayWrite(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "job too late",
             { { "job", id.value },
               { "wait_ms", milliseconds(inputs.expectedWait) },
               { "run_ms", milliseconds(inputs.expectedRun) },
               { "left_ms", milliseconds(inputs.timeLeft) },
               { "queued_tasks", std::uint64_t { inputs.queuedTasks } } });
}

void DecisionLog::runDecided(
    std::string_view decision, const RunName &run, const TargetName &target, double detail, Instant now)
{
    auto it = m_runCounters.find(decision);
    if (it == m_runCounters.end()) {
        auto &counter = m_metrics.counter(
            "eelgrasscleat_runs_total", "decision", decision, "Decisions about runs and what ended them");
        it = m_runCounters.emplace(std::string(decision), &counter).first;
    }
    it->second->Increment();
    if (!mayWrite(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "run",
             { { "decision", std::string(decision) },
               { "attempt", runText(run) },
               { "target", target.value },
               { "detail", std::to_string(detail) } });
}

void DecisionLog::targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail, Instant now)
{
    m_metrics.counter("eelgrasscleat_target_changes_total", "change", change, "Changed beliefs about targets")
        .Increment();
    if (mayWrite(now)) {
        writeLog(LogLevel::Info,
                 "target",
                 { { "change", std::string(change) }, { "target", target.value }, { "detail", detail } });
    }
}

void DecisionLog::changed(std::string_view what, std::initializer_list<LogField> fields)
{
    m_metrics.counter("eelgrasscleat_changes_total", "what", what, "Changed beliefs about the surroundings")
        .Increment();
    writeLog(LogLevel::Info, what, fields);
}

} // namespace Eelgrasscleat
