/// @file
/// Command line of the operators' command.
#include <eelgrasscleat/Operator/OperatorCommand.h>

#include <tclap/CmdLine.h>

#include <array>
#include <cassert>

namespace Eelgrasscleat
{

/// How many arguments a verb takes.
enum class Arity
{
    None,
    One,
    Several,
};

/// A verb as it stands on the command line.
struct VerbRow
{
    std::string_view name;
    Arity arity;
};

static constexpr std::array<VerbRow, 13> Verbs = { {
    { "contract publish", Arity::Several },
    { "contract show", Arity::One },
    { "contract diff", Arity::Several },
    { "contract validate", Arity::Several },
    { "contract list", Arity::None },
    { "contract remove", Arity::Several },
    { "target add", Arity::Several },
    { "target drain", Arity::Several },
    { "target undrain", Arity::Several },
    { "target retire", Arity::Several },
    { "target list", Arity::None },
    { "status", Arity::None },
    { "history", Arity::None },
} };

static constexpr const char *Purpose = "Changes contracts and targets, and shows the configuration and the fleet.\n"
                                       "  contract publish|diff|validate FILE...\n"
                                       "  contract show|remove CUSTOMER\n"
                                       "  contract list\n"
                                       "  target add FILE...\n"
                                       "  target drain|undrain|retire NAME...\n"
                                       "  target list\n"
                                       "  status\n"
                                       "  history\n"
                                       "Exit codes: 0 accepted or shown, 1 diff found differences, 2 usage, 3 invalid, "
                                       "4 conflict, 5 unknown, 6 unreachable";

std::string_view operatorVerbName(OperatorVerb verb)
{
    const auto index = static_cast<std::size_t>(verb);
    assert(index < Verbs.size() && "every verb has a row");
    return Verbs[index].name;
}

static Error usage(const std::string &detail)
{
    return Error { ErrorCode::Invalid, Step::ReadSettings, "command line", detail };
}

/// Splits the words into a verb and its arguments.
static std::optional<Error> readWords(const std::vector<std::string> &words, OperatorRequest &request)
{
    for (std::size_t index = 0; index < Verbs.size(); ++index) {
        const VerbRow &row = Verbs[index];
        const bool twoWords = row.name.find(' ') != std::string_view::npos;
        const std::size_t length = twoWords ? 2 : 1;
        if (words.size() < length || (twoWords ? words[0] + ' ' + words[1] : words[0]) != row.name) {
            continue;
        }
        request.verb = static_cast<OperatorVerb>(index);
        request.arguments.assign(words.begin() + static_cast<std::ptrdiff_t>(length), words.end());
        const std::size_t count = request.arguments.size();
        if (row.arity == Arity::None && count != 0) {
            return usage(std::string(row.name) + " takes no argument");
        }
        if (row.arity == Arity::One && count != 1) {
            return usage(std::string(row.name) + " takes one argument");
        }
        if (row.arity == Arity::Several && count == 0) {
            return usage(std::string(row.name) + " takes at least one argument");
        }
        return std::nullopt;
    }
    return usage(words.empty() ? "expected a command; see --help" : "unknown command; see --help");
}

static std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &it : words) {
        text += (text.empty() ? "" : " ") + it;
    }
    return text;
}

static Result<OperatorRequest> parse(int argc, char **argv)
{
    using Text = TCLAP::ValueArg<std::string>;
    TCLAP::CmdLine parser(Purpose, ' ', EELGRASSCLEAT_VERSION);
    parser.setExceptionHandling(false);
    Text settings("s", "settings", "Settings file (TOML)", true, "", "FILE", parser);
    Text key("", "key-file", "File that holds the customer's key, for contract publish", false, "", "FILE", parser);
    Text reason("", "reason", "Why, for the history; default: the command", false, "", "TEXT", parser);
    TCLAP::ValueArg<std::uint64_t> base(
        "", "base-version", "Version that the change is meant for; default: the newest", false, 0, "N", parser);
    TCLAP::ValueArg<unsigned> deadline("", "deadline-s", "Longest wait for a change", false, 30, "S", parser);
    TCLAP::SwitchArg json("", "json", "Print JSON", parser);
    TCLAP::SwitchArg check("", "check", "Check the settings file and exit", parser);
    TCLAP::SwitchArg print("", "print-settings", "Print all settings with their sources and exit", parser);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments", false, "WORD", parser);
    parser.parse(argc, argv);

    OperatorRequest request;
    request.settingsPath = settings.getValue();
    request.keyPath = key.getValue();
    request.reason = reason.isSet() ? reason.getValue() : joined(words.getValue());
    request.deadline = std::chrono::seconds(deadline.getValue());
    request.json = json.getValue();
    request.onlyCheck = check.getValue();
    request.onlyPrint = print.getValue();
    if (base.isSet()) {
        request.baseVersion = base.getValue();
    }
    if (request.onlyCheck || request.onlyPrint) {
        return request;
    }
    if (auto error = readWords(words.getValue(), request)) {
        return *error;
    }
    if (!request.keyPath.empty() && (request.verb != OperatorVerb::ContractPublish || request.arguments.size() != 1)) {
        return usage("--key-file belongs to contract publish with one file");
    }
    return request;
}

Result<OperatorRequest> parseOperatorRequest(int argc, char **argv)
{
    try {
        return parse(argc, argv);
    } catch (const TCLAP::ExitException &) {
        OperatorRequest ended;
        ended.ended = true;
        return ended;
    } catch (const TCLAP::ArgException &error) {
        return usage(error.error() + ' ' + error.argId());
    }
}

} // namespace Eelgrasscleat
