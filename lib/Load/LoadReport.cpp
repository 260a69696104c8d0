/// @file
/// The report of a run as a table.
#include <eelgrasscleat/Load/LoadRun.h>

#include <iomanip>
#include <sstream>

namespace Eelgrasscleat
{

static constexpr int NameWidth = 44;

/// Writes rows of a name and a value.
class TableWriter
{
public:
    template <typename T>
    void row(const std::string &name, const T &value)
    {
        m_out << std::left << std::setw(NameWidth) << name << value << '\n';
    }

    void heading(const std::string &text)
    {
        m_out << '\n' << text << '\n';
    }

    [[nodiscard]] std::string text() const
    {
        return m_out.str();
    }

private:
    std::ostringstream m_out;
};

static std::string boundText(double upTo, const std::string &prefix)
{
    std::ostringstream out;
    out << prefix << upTo;
    return out.str();
}

static void writeResponse(const schema::RatioSummary &response, TableWriter &table)
{
    table.heading("response / ideal of complete submissions");
    table.row("  count", response.count());
    table.row("  p50", response.p50());
    table.row("  p90", response.p90());
    table.row("  p99", response.p99());
    table.row("  p99.9", response.p999());
    table.row("  max", response.max());
    for (const auto &it : response.buckets()) {
        table.row(it.up_to() > 0 ? boundText(it.up_to(), "  up to ") : "  above", it.count());
    }
}

static void writeAnswers(const schema::LoadReport &report, TableWriter &table)
{
    table.heading("answers");
    for (const auto &it : report.answers()) {
        table.row("  " + schema::AnswerStatus_Name(it.status()) + ' ' + schema::FailureReason_Name(it.reason()) + ' '
                      + schema::RunCertainty_Name(it.certainty()) + ' ',
                  it.count());
    }
    for (const auto &it : report.refusals()) {
        table.row("  HTTP status " + std::to_string(it.status()) + ", no submission's answer ", it.count());
    }
}

static void writeStarts(const schema::StartSummary &starts, TableWriter &table)
{
    table.heading("starts on the targets");
    table.row("  received", starts.received());
    table.row("  started", starts.started());
    table.row("  tasks started", starts.tasks_started());
    table.row("  tasks started twice", starts.started_twice());
    table.row("  idempotent requests repeated", starts.repeated_requests());
    table.row("  wasted starts a task", starts.wasted_per_task());
    int index = 0;
    for (const auto &it : starts.wasted_by_submission()) {
        const bool last = ++index == starts.wasted_by_submission_size();
        table.row(last ? "  submissions with more wasted starts"
                       : boundText(it.up_to(), "  submissions with wasted starts: "),
                  it.count());
    }
}

std::string loadReportTable(const schema::LoadReport &report)
{
    TableWriter table;
    table.row("run", report.run());
    table.row("seed", report.seed());
    table.row("seconds", report.seconds());
    table.row("submissions", report.submissions());
    table.row("tasks", report.tasks());
    table.row("tasks offered a second", report.task_rate());
    table.row("resubmissions", report.resubmissions());
    table.row("cancels", report.cancels());
    table.row("without a final answer", report.unanswered());
    table.row("calls lost", report.lost_calls());
    table.row("calls not sent", report.unsent_calls());
    table.row("largest lag of this tool, ms", report.max_lag_ms());
    writeResponse(report.response(), table);
    writeAnswers(report, table);
    if (report.has_starts()) {
        writeStarts(report.starts(), table);
    }
    table.heading("violations: " + std::to_string(report.violations()));
    for (const auto &it : report.first_violations()) {
        table.row("  " + schema::ViolationKind_Name(it.kind()) + ' ', it.key() + ": " + it.detail());
    }
    return table.text();
}

} // namespace Eelgrasscleat
