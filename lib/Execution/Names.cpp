/// @file
/// Names of attempt outcomes and retry decisions, and the text form of tickets.
#include <eelgrasscleat/Execution/SubmissionTable.h>

#include <array>
#include <cassert>
#include <charconv>

namespace Eelgrasscleat
{

static constexpr std::array<std::string_view, 6> AttemptOutcomeNames = {
    "done", "failed", "refused_busy", "refused_leaving", "not_sent", "lost",
};

static constexpr std::array<std::string_view, 5> RetryDecisionNames = {
    "retried_not_sent", "retried_refused", "retried_idempotent", "refused_by_budget", "refused_may_have_run",
};

/// First character of a ticket; denotes the format version.
static constexpr char TicketVersion = 'a';
static constexpr std::size_t TicketDigits = 16;
static constexpr int HexBase = 16;

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    const auto index = static_cast<std::size_t>(outcome);
    assert(index < AttemptOutcomeNames.size() && "every outcome has a name");
    return AttemptOutcomeNames[index];
}

std::string_view retryDecisionName(RetryDecision decision)
{
    const auto index = static_cast<std::size_t>(decision);
    assert(index < RetryDecisionNames.size() && "every decision has a name");
    return RetryDecisionNames[index];
}

std::string ticketOf(IncarnationId incarnation)
{
    std::array<char, TicketDigits> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), incarnation.value, HexBase).ptr;
    const std::string_view text(digits.data(), static_cast<std::size_t>(end - digits.data()));
    return TicketVersion + std::string(TicketDigits - text.size(), '0') + std::string(text);
}

std::optional<IncarnationId> parseTicket(std::string_view ticket)
{
    if (ticket.size() != TicketDigits + 1 || ticket.front() != TicketVersion) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *last = ticket.data() + ticket.size();
    const auto [end, ec] = std::from_chars(ticket.data() + 1, last, number, HexBase);
    if (ec != std::errc() || end != last || number == 0) {
        return std::nullopt;
    }
    return IncarnationId(number);
}

} // namespace Eelgrasscleat
