/// @file
/// Rate-limited log lines, and metrics.
#include "DecisionLog.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace Eelgrasscleat
{

namespace
{

/// A line costs about 2 us, so logging takes at most 0.3% of a core.
constexpr std::uint32_t kMaxLinesPerSecond = 1500;
/// Most bytes of a text that a caller chooses in a log line.
constexpr std::size_t kMaxLoggedBytes = 256;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string formatTask(const TaskName &task)
{
    return task.job.value + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

std::string formatRun(const RunName &run)
{
    return formatTask(run.task) + '/' + std::to_string(run.run);
}

} // namespace

DecisionLog::DecisionLog(Metrics &metrics)
    : m_metrics(metrics)
    , m_sessions(metrics.gauge("eelgrasscleat_peer_sessions", "", "", "Sessions with other instances"))
    , m_evictedPeers(metrics.gauge(
          "eelgrasscleat_peer_connections_evicted", "", "", "Connections of peers closed because of limits"))
{
}

bool DecisionLog::acquireLine(Instant now)
{
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        if (m_droppedLines > 0) {
            writeLog(LogLevel::Warn, "log lines dropped", { { "lines", std::uint64_t { m_droppedLines } } });
        }
        m_windowStart = now;
        m_linesInWindow = 0;
        m_droppedLines = 0;
    }
    if (m_linesInWindow >= kMaxLinesPerSecond) {
        ++m_droppedLines;
        return false;
    }
    ++m_linesInWindow;
    return true;
}

void DecisionLog::jobRouted(const JobRequest &job, const InstanceName &dispatcher, ConfigVersion version)
{
    if (!acquireLine(job.submitted)) {
        return;
    }
    std::uint64_t tasks = 0;
    for (const JobStep &it : job.steps) {
        tasks += it.tasks;
    }
    writeLog(LogLevel::Info,
             "job routed",
             { { "job", job.id.value },
               { "request", job.requestId },
               { "customer", job.route.value },
               { "priority", std::uint64_t { job.priority } },
               { "left_ms", milliseconds(job.deadline - job.submitted) },
               { "config", version.value },
               { "dispatcher", dispatcher.value },
               { "only_in_time", std::uint64_t { job.onlyInTime ? 1U : 0U } },
               { "tasks", tasks },
               { "first_task", std::uint64_t { job.steps.front().firstTask } } });
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
    if (!acquireLine(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "job answered",
             { { "job", end.id.value.substr(0, kMaxLoggedBytes) },
               { "request", requestId },
               { "customer", route.value },
               { "outcome", outcome },
               { "reason", reason },
               { "took_ms", milliseconds(took) },
               { "retry_ms", milliseconds(end.retryAfter) } });
}

void DecisionLog::jobTooLate(const JobId &id, const LatenessEstimate &estimate, Instant now)
{
    if (!acquireLine(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "job too late",
             { { "job", id.value },
               { "wait_ms", milliseconds(estimate.expectedWait) },
               { "run_ms", milliseconds(estimate.expectedRun) },
               { "left_ms", milliseconds(estimate.timeLeft) },
               { "queued_tasks", std::uint64_t { estimate.queuedTasks } } });
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
    if (!acquireLine(now)) {
        return;
    }
    writeLog(LogLevel::Info,
             "run",
             { { "decision", std::string(decision) },
               { "attempt", formatRun(run) },
               { "target", target.value },
               { "detail", std::to_string(detail) } });
}

void DecisionLog::targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail, Instant now)
{
    m_metrics.counter("eelgrasscleat_target_changes_total", "change", change, "Changed beliefs about targets")
        .Increment();
    if (acquireLine(now)) {
        writeLog(LogLevel::Info,
                 "target",
                 { { "change", std::string(change) }, { "target", target.value }, { "detail", detail } });
    }
}

/// Each suspect gets a line, so that the crashes under a task are found by its name.
void DecisionLog::targetCrashed(const TargetCrash &crash, Instant now)
{
    targetChanged(crash.commonCause ? "crashed_with_others" : "crashed", crash.target.name, crash.suspects.size(), now);
    if (crash.commonCause) {
        return;
    }
    for (const CrashSuspect &it : crash.suspects) {
        if (acquireLine(now)) {
            writeLog(LogLevel::Info,
                     "task at work when its target crashed",
                     { { "task", formatTask(it.task) },
                       { "target", crash.target.name.value },
                       { "started_last", std::uint64_t { it.startedLast ? 1U : 0U } },
                       { "likely", std::uint64_t { it.isLikely ? 1U : 0U } },
                       { "suspects", std::uint64_t { crash.suspects.size() } } });
        }
    }
}

void DecisionLog::recordEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    m_metrics.counter("eelgrasscleat_changes_total", "what", event, "Changed beliefs about the surroundings")
        .Increment();
    writeLog(LogLevel::Info, event, fields);
}

void DecisionLog::requestRejected(const JobId &id, const std::string &requestId, const std::string &detail, Instant now)
{
    m_metrics
        .counter("eelgrasscleat_changes_total", "what", "request rejected", "Changed beliefs about the surroundings")
        .Increment();
    if (acquireLine(now)) {
        writeLog(LogLevel::Info,
                 "request rejected",
                 { { "job", id.value.substr(0, kMaxLoggedBytes) },
                   { "request", requestId },
                   { "detail", detail.substr(0, kMaxLoggedBytes) } });
    }
}

void DecisionLog::recordRejected(const Error &error, Instant now)
{
    const std::string step(stepName(error.step));
    m_metrics.counter("eelgrasscleat_records_rejected_total", "step", step, "Records that couldn't be read, skipped")
        .Increment();
    if (acquireLine(now)) {
        writeLog(LogLevel::Warn,
                 "record rejected",
                 { { "step", step }, { "peer", error.peer }, { "detail", error.detail } });
    }
}

void DecisionLog::setSessions(std::size_t sessions)
{
    m_sessions.Set(static_cast<double>(sessions));
}

void DecisionLog::setEvictedPeers(std::uint64_t connections)
{
    m_evictedPeers.Set(static_cast<double>(connections));
}

} // namespace Eelgrasscleat
