/// @file
/// Tables with columns as wide as their longest cell.
#include "Presenter.h"

#include <QDateTime>

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

namespace
{

/// Rows of text under a heading.
class Table
{
public:
    using Row = std::vector<std::string>;

    explicit Table(Row heading)
    {
        m_rows.push_back(std::move(heading));
    }

    void add(Row row)
    {
        assert(row.size() == m_rows.front().size() && "a row has a cell for each column");
        m_rows.push_back(std::move(row));
    }

    [[nodiscard]] std::string text() const
    {
        std::string text;
        for (const Row &row : m_rows) {
            std::string line;
            for (std::size_t column = 0; column < row.size(); ++column) {
                line += row[column];
                line.append(width(column) - row[column].size() + Gap, ' ');
            }
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + '\n';
        }
        return text;
    }

private:
    static constexpr std::size_t Gap = 2;

    [[nodiscard]] std::size_t width(std::size_t column) const
    {
        std::size_t widest = 0;
        for (const Row &it : m_rows) {
            widest = std::max(widest, it[column].size());
        }
        return widest;
    }

    std::vector<Row> m_rows;
};

} // namespace

static std::string versionLine(std::uint64_t version)
{
    return "version " + std::to_string(version) + '\n';
}

static std::string yesNo(bool flag)
{
    return flag ? "yes" : "no";
}

std::string table(const schema::ChangeReport &report)
{
    std::string text = report.status();
    if (report.version() > 0) {
        text += ", version " + std::to_string(report.version());
    }
    text += " (change " + report.change_id() + ")\n";
    if (!report.winner().empty()) {
        text += "winner: change " + report.winner() + " by " + report.winner_author() + ": " + report.winner_reason()
            + '\n';
    }
    if (!report.detail().empty()) {
        text += report.detail() + '\n';
    }
    return text;
}

std::string table(const schema::ContractList &list)
{
    Table table({ "CUSTOMER", "SERVICE", "IN FLIGHT", "URGENCY", "IDEMPOTENT", "MAX RUN MS", "MAX QUEUED", "KEY" });
    for (const auto &it : list.contracts()) {
        table.add({ it.customer(),
                    it.service(),
                    std::to_string(it.in_flight_limit()),
                    it.urgency(),
                    yesNo(it.idempotent()),
                    std::to_string(it.max_run_ms()),
                    std::to_string(it.max_queued()),
                    it.key_fingerprint() });
    }
    return versionLine(list.version()) + table.text();
}

std::string table(const schema::TargetList &list)
{
    Table table({ "NAME", "ZONE", "SERVICE", "ADDRESS", "SLOTS", "CONNECTIONS", "RACK", "STATE" });
    for (const auto &it : list.targets()) {
        table.add({ it.name(),
                    it.zone(),
                    it.service(),
                    it.address() + ':' + std::to_string(it.port()),
                    std::to_string(it.slots()),
                    std::to_string(it.connections()),
                    it.rack(),
                    it.state() == schema::TARGET_STATE_DRAINING ? "draining" : "active" });
    }
    return versionLine(list.version()) + table.text();
}

std::string table(const schema::DiffReport &report)
{
    if (report.differences().empty()) {
        return versionLine(report.version()) + "no differences\n";
    }
    Table table({ "CUSTOMER", "FIELD", "PUBLISHED", "FILE" });
    for (const auto &it : report.differences()) {
        table.add({ it.customer(), it.field(), it.published(), it.file() });
    }
    return versionLine(report.version()) + table.text();
}

static std::string statusText(const schema::EntryStatus &status)
{
    if (status.leaving()) {
        return "leaving";
    }
    return status.ready() ? "ready" : "not ready: " + status.not_ready_because();
}

std::string table(const schema::FleetReport &report)
{
    Table table({ "INSTANCE", "ZONE", "STATE", "VERSION", "PLATFORM", "NAME", "UNFINISHED", "PEERS ALIVE" });
    for (const auto &it : report.instances()) {
        if (!it.reachable()) {
            table.add({ it.name(), "", "unreachable: " + it.detail(), "", "", "", "", "" });
            continue;
        }
        const auto &status = it.status();
        const auto alive = std::count_if(
            status.peers().begin(), status.peers().end(), [](const schema::PeerStatus &peer) { return peer.alive(); });
        table.add({ it.name(),
                    status.zone(),
                    statusText(status),
                    std::to_string(status.config_version()),
                    status.platform_reachable() ? "reachable" : "unreachable",
                    status.name_state(),
                    std::to_string(status.unfinished_submissions()),
                    std::to_string(alive) + " of " + std::to_string(status.peers_size()) });
    }
    return table.text();
}

static std::string verdictName(schema::ChangeVerdict verdict)
{
    switch (verdict) {
    case schema::CHANGE_VERDICT_ACCEPTED:
        return "accepted";
    case schema::CHANGE_VERDICT_CONFLICT:
        return "conflict";
    default:
        return "invalid";
    }
}

std::string table(const schema::HistoryReport &report)
{
    Table table({ "OFFSET", "VERSION", "VERDICT", "TIME", "AUTHOR", "REASON", "CHANGE", "LOST AGAINST" });
    for (const auto &it : report.changes()) {
        const auto time = QDateTime::fromMSecsSinceEpoch(static_cast<qint64>(it.at_ms()), Qt::UTC);
        table.add({ std::to_string(it.offset()),
                    it.version() > 0 ? std::to_string(it.version()) : "",
                    verdictName(it.verdict()),
                    time.toString(Qt::ISODate).toStdString(),
                    it.author(),
                    it.reason(),
                    it.change_id(),
                    it.winner_change_id() });
    }
    return versionLine(report.version()) + table.text();
}

} // namespace Eelgrasscleat
