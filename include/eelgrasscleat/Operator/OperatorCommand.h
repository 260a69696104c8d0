/// @file
/// The operators' command: changes contracts and targets, and shows the configuration, its history and the fleet.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Tool/Process.h>

#include <settings.pb.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// What an operator asks for.
enum class OperatorVerb
{
    ContractPublish,
    ContractShow,
    ContractDiff,
    ContractValidate,
    ContractList,
    ContractRemove,
    TargetAdd,
    TargetDrain,
    TargetUndrain,
    TargetRetire,
    TargetList,
    Status,
    History,
};

/// @returns the words of @p verb on the command line, for example "contract publish".
std::string_view operatorVerbName(OperatorVerb verb);

/// A parsed command line.
struct OperatorRequest
{
    std::string settingsPath;
    OperatorVerb verb = OperatorVerb::Status;
    std::vector<std::string> arguments; ///< Files or names.
    std::string keyPath; ///< File with the customer's key; empty for none.
    std::string reason; ///< For the history.
    std::optional<std::uint64_t> baseVersion; ///< Version that the operator saw; none: the newest.
    std::chrono::seconds deadline { 30 }; ///< For one change, from its start to its outcome.
    bool json = false;
    bool onlyCheck = false;
    bool onlyPrint = false;
    bool ended = false; ///< Help or version was printed.
};

/// @returns the request, or an error that says what is wrong with the command line.
Result<OperatorRequest> parseOperatorRequest(int argc, char **argv);

/// Carries a request out and prints its result. Needs a QCoreApplication; runs event loops of its own.
ExitCode runOperatorRequest(const OperatorRequest &request, const schema::ControlSettings &settings);

} // namespace Eelgrasscleat
