/// @file
/// Command line of the load tool.
#include <eelgrasscleat/Load/LoadOptions.h>

#include <tclap/CmdLine.h>

#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 3> TicketUseNames = { "none", "own", "any" };

static std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    Endpoint endpoint { text.substr(0, colon), 0 };
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (ec != std::errc() || rest != end || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

static Error invalidOption(const std::string &option, const std::string &expected)
{
    return Error { ErrorCode::Invalid, Step::ReadSettings, "--" + option, "expected " + expected };
}

static std::optional<Error>
parseEndpoints(const std::vector<std::string> &texts, const std::string &option, std::vector<Endpoint> &endpoints)
{
    for (const std::string &it : texts) {
        const auto endpoint = parseEndpoint(it);
        if (!endpoint) {
            return invalidOption(option, "ADDRESS:PORT, found " + it);
        }
        endpoints.push_back(*endpoint);
    }
    return std::nullopt;
}

static std::optional<Error> checkFractions(const LoadOptions &options)
{
    const std::array<std::pair<const char *, double>, 4> fractions = { {
        { "requests", options.requestFraction },
        { "non-idempotent", options.nonIdempotentFraction },
        { "resubmit", options.resubmitFraction },
        { "cancel", options.cancelFraction },
    } };
    for (const auto &[name, value] : fractions) {
        if (value < 0 || value > 1) {
            return invalidOption(name, "a fraction from 0 to 1");
        }
    }
    return std::nullopt;
}

static std::optional<Error> checkRanges(const LoadOptions &options)
{
    if (options.rate <= 0) {
        return invalidOption("rate", "a number above 0");
    }
    if (options.duration.count() <= 0) {
        return invalidOption("seconds", "a number above 0");
    }
    if (options.tasksMin == 0 || options.tasksMax < options.tasksMin) {
        return invalidOption("tasks-max", "at least --tasks-min, which is at least 1");
    }
    if (options.runMaxMs < options.runMinMs) {
        return invalidOption("run-max-ms", "at least --run-min-ms");
    }
    if (options.fastestSpeed <= 0 || options.roundTripMs <= 0) {
        return invalidOption("fastest-speed", "a number above 0, and --round-trip-ms too");
    }
    if (options.connections == 0) {
        return invalidOption("connections", "at least 1");
    }
    return checkFractions(options);
}

/// The options as TCLAP knows them; it keeps references, so they live as long as the parser.
class LoadArguments
{
public:
    void parse(int argc, char **argv)
    {
        m_parser.setExceptionHandling(false);
        m_parser.parse(argc, argv);
    }

    Result<LoadCommand> command() const
    {
        LoadCommand command;
        command.onlyCheck = m_check.getValue();
        command.onlyPrint = m_print.getValue();
        LoadOptions &options = command.options;
        if (auto error = parseEndpoints(m_entries.getValue(), "entry", options.entries)) {
            return *error;
        }
        if (auto error = parseEndpoints(m_targets.getValue(), "target", options.targets)) {
            return *error;
        }
        options.customer = m_customer.getValue();
        options.customerKey = m_key.getValue();
        options.run = m_run.getValue();
        options.seed = m_seed.getValue();
        options.rate = m_rate.getValue();
        options.duration = std::chrono::milliseconds(static_cast<std::int64_t>(m_seconds.getValue() * 1000));
        options.tasksMin = m_tasksMin.getValue();
        options.tasksMax = m_tasksMax.getValue();
        options.runMinMs = m_runMin.getValue();
        options.runMaxMs = m_runMax.getValue();
        options.requestFraction = m_requests.getValue();
        options.nonIdempotentFraction = m_nonIdempotent.getValue();
        options.resubmitFraction = m_resubmit.getValue();
        options.cancelFraction = m_cancel.getValue();
        options.lostRetries = m_lostRetries.getValue();
        options.deadlineMs = m_deadline.getValue();
        options.connections = m_connections.getValue();
        options.timeout = std::chrono::milliseconds(m_timeout.getValue());
        options.fastestSpeed = m_speed.getValue();
        options.roundTripMs = m_roundTrip.getValue();
        options.json = m_json.getValue();
        const auto use = std::find(TicketUseNames.begin(), TicketUseNames.end(), m_tickets.getValue());
        if (use == TicketUseNames.end()) {
            return invalidOption("tickets", "none, own or any");
        }
        options.tickets = static_cast<TicketUse>(use - TicketUseNames.begin());
        if (auto error = checkRanges(options)) {
            return *error;
        }
        return command;
    }

private:
    using Text = TCLAP::ValueArg<std::string>;
    using Texts = TCLAP::MultiArg<std::string>;
    using Real = TCLAP::ValueArg<double>;
    using Count = TCLAP::ValueArg<std::uint32_t>;
    using Seed = TCLAP::ValueArg<std::uint64_t>;
    using Flag = TCLAP::SwitchArg;

    TCLAP::CmdLine m_parser { "Open-loop load on entry instances, with checks of every answer",
                              ' ',
                              EELGRASSCLEAT_VERSION };
    Texts m_entries { "e", "entry", "Entry instance; repeat for several", true, "ADDRESS:PORT", m_parser };
    Texts m_targets {
        "t", "target", "Target whose record of starts is read at the end", false, "ADDRESS:PORT", m_parser
    };
    Text m_customer { "", "customer", "Customer that submits", true, "", "NAME", m_parser };
    Text m_key { "", "key", "The customer's key", true, "", "TEXT", m_parser };
    Text m_run { "",     "run",   "Name of the run, first part of all keys; default: the present time", false, "",
                 "NAME", m_parser };
    Seed m_seed { "", "seed", "Seed of all choices", false, 1, "N", m_parser };
    Real m_rate { "", "rate", "Submissions a second", false, 100, "N", m_parser };
    Real m_seconds { "", "seconds", "How long submissions arrive", false, 10, "S", m_parser };
    Count m_tasksMin { "", "tasks-min", "Fewest tasks of a job", false, 1, "N", m_parser };
    Count m_tasksMax { "", "tasks-max", "Most tasks of a job", false, 20, "N", m_parser };
    Count m_runMin { "", "run-min-ms", "Shortest run time of a task", false, 50, "MS", m_parser };
    Count m_runMax { "", "run-max-ms", "Longest run time of a task", false, 1000, "MS", m_parser };
    Real m_requests { "", "requests", "Fraction of single requests", false, 0.2, "F", m_parser };
    Real m_nonIdempotent { "", "non-idempotent", "Fraction marked as non-idempotent", false, 0, "F", m_parser };
    Real m_resubmit { "", "resubmit", "Fraction submitted twice with the same key", false, 0, "F", m_parser };
    Real m_cancel { "", "cancel", "Fraction cancelled", false, 0, "F", m_parser };
    Count m_lostRetries { "", "lost-retries", "Resubmissions after calls without an answer", false, 3, "N", m_parser };
    Count m_deadline { "", "deadline-ms", "Deadline of submissions; 0: none", false, 0, "MS", m_parser };
    Text m_tickets { "", "tickets", "Tickets on submissions: none, own or any", false, "none", "USE", m_parser };
    Count m_connections { "", "connections", "Most connections to an entry instance", false, 500, "N", m_parser };
    Count m_timeout { "", "timeout-ms", "Longest wait for one answer", false, 30000, "MS", m_parser };
    Real m_speed { "", "fastest-speed", "Speed of the fastest target, for the ideal", false, 1, "N", m_parser };
    Real m_roundTrip { "", "round-trip-ms", "Round trip, for the ideal", false, 1, "MS", m_parser };
    Flag m_json { "", "json", "Print the report as JSON", m_parser };
    Flag m_check { "", "check", "Check the options and exit", m_parser };
    Flag m_print { "", "print-settings", "Print all options and exit", m_parser };
};

Result<LoadCommand> parseLoadCommand(int argc, char **argv)
{
    LoadArguments arguments;
    try {
        arguments.parse(argc, argv);
    } catch (const TCLAP::ExitException &) {
        LoadCommand ended;
        ended.ended = true;
        return ended;
    } catch (const TCLAP::ArgException &error) {
        return Error { ErrorCode::Invalid, Step::ReadSettings, error.argId(), error.error() };
    }
    return arguments.command();
}

static std::string endpointsText(const std::vector<Endpoint> &endpoints)
{
    std::string text;
    for (const Endpoint &it : endpoints) {
        text += (text.empty() ? "" : ", ") + it.address + ':' + std::to_string(it.port);
    }
    return text;
}

std::string printLoadOptions(const LoadOptions &options)
{
    std::ostringstream out;
    out << "entry = " << endpointsText(options.entries) << '\n'
        << "target = " << endpointsText(options.targets) << '\n'
        << "customer = " << options.customer << '\n'
        << "run = " << options.run << '\n'
        << "seed = " << options.seed << '\n'
        << "rate = " << options.rate << '\n'
        << "seconds = " << static_cast<double>(options.duration.count()) / 1000 << '\n'
        << "tasks-min = " << options.tasksMin << '\n'
        << "tasks-max = " << options.tasksMax << '\n'
        << "run-min-ms = " << options.runMinMs << '\n'
        << "run-max-ms = " << options.runMaxMs << '\n'
        << "requests = " << options.requestFraction << '\n'
        << "non-idempotent = " << options.nonIdempotentFraction << '\n'
        << "resubmit = " << options.resubmitFraction << '\n'
        << "cancel = " << options.cancelFraction << '\n'
        << "lost-retries = " << options.lostRetries << '\n'
        << "deadline-ms = " << options.deadlineMs << '\n'
        << "tickets = " << TicketUseNames[static_cast<std::size_t>(options.tickets)] << '\n'
        << "connections = " << options.connections << '\n'
        << "timeout-ms = " << options.timeout.count() << '\n'
        << "fastest-speed = " << options.fastestSpeed << '\n'
        << "round-trip-ms = " << options.roundTripMs << '\n';
    return out.str();
}

} // namespace Eelgrasscleat
