/// @file
/// What a run of the load tool does.
#pragma once

#include <eelgrasscleat/Support/Error.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Where a process listens.
struct Endpoint
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;
};

/// Whose ticket a submission carries.
enum class TicketUse
{
    None,
    Own, ///< The ticket of the instance that it is sent to.
    Any, ///< The ticket of an instance chosen at random, as behind a balancer.
};

/// Options of one run.
struct LoadOptions
{
    std::vector<Endpoint> entries;
    std::vector<Endpoint> targets; ///< Read at the end, if given.
    std::string customer;
    std::string customerKey;
    std::string run; ///< First part of every submission's key.
    std::uint64_t seed = 1;
    double rate = 100; ///< Submissions a second.
    std::chrono::milliseconds duration { 10000 };
    std::uint32_t tasksMin = 1;
    std::uint32_t tasksMax = 20;
    std::uint32_t runMinMs = 50;
    std::uint32_t runMaxMs = 1000;
    double requestFraction = 0.2; ///< Single requests among the submissions.
    double nonIdempotentFraction = 0;
    double resubmitFraction = 0;
    double cancelFraction = 0;
    std::uint32_t lostRetries = 3; ///< Resubmissions after calls that got no answer.
    std::uint32_t deadlineMs = 0;
    TicketUse tickets = TicketUse::None;
    std::size_t connections = 500; ///< To each entry instance.
    std::chrono::milliseconds timeout { 30000 }; ///< Longest wait for one answer.
    double fastestSpeed = 1; ///< Speed of the fastest target, for the ideal.
    double roundTripMs = 1; ///< For the ideal.
    bool json = false;
};

/// What the command line asks for.
struct LoadCommand
{
    LoadOptions options;
    bool onlyCheck = false;
    bool onlyPrint = false;
    bool ended = false; ///< Help or version was printed.
};

/// @returns the command, or an error that names the option at fault.
Result<LoadCommand> parseLoadCommand(int argc, char **argv);

/// @returns the options as lines of "name = value".
std::string printLoadOptions(const LoadOptions &options);

} // namespace Eelgrasscleat
