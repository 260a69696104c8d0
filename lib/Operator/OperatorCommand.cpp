/// @file
/// Carries out each verb of the operators' command.
#include <eelgrasscleat/Operator/OperatorCommand.h>

#include "ChangeBuilder.h"
#include "FleetQuery.h"
#include "LogDialog.h"
#include "Presenter.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QUuid>

#include <algorithm>
#include <iostream>
#include <utility>

namespace Eelgrasscleat
{

namespace
{

/// Stands for the key of a new contract while a file is validated without one.
constexpr std::string_view PlaceholderKey = "placeholder";

/// One run of the command.
class OperatorRun
{
public:
    OperatorRun(const OperatorRequest &request, const schema::ControlSettings &settings)
        : m_request(request)
        , m_settings(settings)
        , m_log(makeHttpLogService(PlatformAddress { settings.platform().address(),
                                                     static_cast<std::uint16_t>(settings.platform().port()),
                                                     std::chrono::milliseconds(settings.platform().timeout_ms()) }))
        , m_reader(*m_log)
    {
    }

    ExitCode run()
    {
        switch (m_request.verb) {
        case OperatorVerb::Status:
            return showStatus();
        case OperatorVerb::ContractValidate:
            return validate();
        default:
            break;
        }
        const auto state = m_reader.read(m_request.deadline);
        if (const auto *error = std::get_if<Error>(&state)) {
            return fail(ExitCode::Unreachable, *error);
        }
        return runWith(*std::get<const ConfigState *>(state));
    }

private:
    ExitCode runWith(const ConfigState &state)
    {
        switch (m_request.verb) {
        case OperatorVerb::ContractShow:
            return showContract(state);
        case OperatorVerb::ContractList:
            return listContracts(state);
        case OperatorVerb::ContractDiff:
            return diff(state);
        case OperatorVerb::TargetList:
            return listTargets(state);
        case OperatorVerb::History:
            return showHistory(state);
        default:
            return change(state);
        }
    }

    ExitCode showStatus()
    {
        const schema::FleetReport fleet = queryFleet(m_settings);
        print(fleet);
        const bool all = std::all_of(
            fleet.instances().begin(), fleet.instances().end(), [](const auto &it) { return it.reachable(); });
        return all ? ExitCode::Success : ExitCode::Unreachable;
    }

    ExitCode validate()
    {
        const auto contracts = readContracts(hashKey(PlaceholderKey));
        if (const auto *error = std::get_if<Error>(&contracts)) {
            return fail(ExitCode::Invalid, *error);
        }
        schema::ConfigChange change = newChange(0);
        for (const schema::Contract &it : std::get<std::vector<schema::Contract>>(contracts)) {
            *change.add_operations()->mutable_put_contract() = it;
        }
        const auto valid = validateChange(change);
        if (const auto *error = std::get_if<Error>(&valid)) {
            return fail(ExitCode::Invalid, *error);
        }
        schema::ChangeReport report;
        report.set_status("valid");
        print(report);
        return ExitCode::Success;
    }

    ExitCode showContract(const ConfigState &state)
    {
        const auto *contract = state.contract(CustomerName(m_request.arguments[0]));
        if (contract == nullptr) {
            return fail(ExitCode::Invalid,
                        Error { ErrorCode::NotFound, Step::CheckContract, m_request.arguments[0], "no such contract" });
        }
        schema::ContractList list;
        list.set_version(state.version());
        *list.add_contracts() = viewContract(*contract);
        print(list);
        return ExitCode::Success;
    }

    ExitCode listContracts(const ConfigState &state)
    {
        schema::ContractList list;
        list.set_version(state.version());
        for (const auto &[customer, contract] : state.contracts()) {
            *list.add_contracts() = viewContract(contract);
        }
        print(list);
        return ExitCode::Success;
    }

    ExitCode listTargets(const ConfigState &state)
    {
        schema::TargetList list;
        list.set_version(state.version());
        for (const auto &[name, target] : state.targets()) {
            *list.add_targets() = target;
        }
        print(list);
        return ExitCode::Success;
    }

    ExitCode showHistory(const ConfigState &state)
    {
        schema::HistoryReport report;
        report.set_version(state.version());
        for (const schema::ChangeResult &it : state.history()) {
            *report.add_changes() = it;
        }
        print(report);
        return ExitCode::Success;
    }

    ExitCode diff(const ConfigState &state)
    {
        const auto contracts = readContracts("");
        if (const auto *error = std::get_if<Error>(&contracts)) {
            return fail(ExitCode::Invalid, *error);
        }
        schema::DiffReport report;
        report.set_version(state.version());
        for (const schema::Contract &it : std::get<std::vector<schema::Contract>>(contracts)) {
            for (schema::FieldDifference &difference : diffContract(state, it)) {
                *report.add_differences() = std::move(difference);
            }
        }
        print(report);
        return report.differences().empty() ? ExitCode::Success : ExitCode::Failure;
    }

    ExitCode change(const ConfigState &state)
    {
        const auto operations = makeOperations(state);
        if (const auto *error = std::get_if<Error>(&operations)) {
            return fail(ExitCode::Invalid, *error);
        }
        schema::ConfigChange change = newChange(m_request.baseVersion.value_or(state.version()));
        for (const schema::Operation &it : std::get<Operations>(operations)) {
            *change.add_operations() = it;
        }
        schema::ChangeReport report;
        report.set_change_id(change.change_id());
        const SentChange sent = ChangeSender(*m_log).send(std::move(change), m_request.deadline);
        return reportChange(sent, report);
    }

    Result<Operations> makeOperations(const ConfigState &state)
    {
        switch (m_request.verb) {
        case OperatorVerb::ContractPublish:
            return makePublication(state);
        case OperatorVerb::ContractRemove:
            return removeContracts(state, m_request.arguments);
        case OperatorVerb::TargetAdd:
            return makeAdditions(state);
        case OperatorVerb::TargetDrain:
            return changeTargets(state, m_request.arguments, schema::TARGET_STATE_DRAINING);
        case OperatorVerb::TargetUndrain:
            return changeTargets(state, m_request.arguments, schema::TARGET_STATE_ACTIVE);
        default:
            return retireTargets(state, m_request.arguments);
        }
    }

    Result<Operations> makePublication(const ConfigState &state)
    {
        std::string keyHash;
        if (!m_request.keyPath.empty()) {
            auto hash = readKeyHash(m_request.keyPath);
            if (const auto *error = std::get_if<Error>(&hash)) {
                return *error;
            }
            keyHash = std::get<std::string>(std::move(hash));
        }
        auto contracts = readContracts(keyHash);
        if (const auto *error = std::get_if<Error>(&contracts)) {
            return *error;
        }
        return publishContracts(state, std::get<std::vector<schema::Contract>>(std::move(contracts)));
    }

    Result<Operations> makeAdditions(const ConfigState &state)
    {
        std::vector<schema::Target> all;
        for (const std::string &path : m_request.arguments) {
            const auto targets = readTargetsFile(path);
            if (const auto *error = std::get_if<Error>(&targets)) {
                return *error;
            }
            const auto &read = std::get<std::vector<schema::Target>>(targets);
            all.insert(all.end(), read.begin(), read.end());
        }
        return addTargets(state, std::move(all));
    }

    [[nodiscard]] Result<std::vector<schema::Contract>> readContracts(const std::string &keyHash) const
    {
        std::vector<schema::Contract> contracts;
        for (const std::string &path : m_request.arguments) {
            auto contract = readContractFile(path, keyHash);
            if (const auto *error = std::get_if<Error>(&contract)) {
                return *error;
            }
            contracts.push_back(std::get<schema::Contract>(std::move(contract)));
        }
        return contracts;
    }

    [[nodiscard]] schema::ConfigChange newChange(std::uint64_t baseVersion) const
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        schema::ConfigChange change;
        change.set_change_id(QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString());
        change.set_base_version(baseVersion);
        change.set_author(m_settings.author());
        change.set_reason(m_request.reason);
        change.set_at_ms(
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
        return change;
    }

    ExitCode reportChange(const SentChange &sent, schema::ChangeReport &report)
    {
        report.set_status(std::string(publishStatusName(sent.outcome.status)));
        report.set_version(sent.outcome.version);
        report.set_winner(sent.outcome.winner);
        report.set_detail(sent.outcome.detail);
        if (sent.winner) {
            report.set_winner_author(sent.winner->author());
            report.set_winner_reason(sent.winner->reason());
        }
        // What was never sent can't take effect later.
        const bool unreachable = sent.outcome.status == PublishStatus::Unknown && !sent.sent;
        if (unreachable) {
            report.set_status("unreachable");
        }
        print(report);
        if (unreachable) {
            return ExitCode::Unreachable;
        }
        switch (sent.outcome.status) {
        case PublishStatus::Accepted:
            return ExitCode::Success;
        case PublishStatus::Conflict:
            return ExitCode::Conflict;
        case PublishStatus::Invalid:
            return ExitCode::Invalid;
        case PublishStatus::Unknown:
            break;
        }
        return ExitCode::Unknown;
    }

    template <typename Message>
    void print(const Message &message)
    {
        std::cout << (m_request.json ? toJson(message) + '\n' : table(message));
    }

    ExitCode fail(ExitCode exitCode, const Error &error)
    {
        if (m_request.json) {
            schema::ErrorReport report;
            report.set_error(error.text());
            std::cout << toJson(report) << '\n';
        } else {
            std::cerr << "eelgrasscleatctl: " << error.text() << '\n';
        }
        return exitCode;
    }

    const OperatorRequest &m_request;
    const schema::ControlSettings &m_settings;
    std::unique_ptr<LogService> m_log;
    ConfigReader m_reader;
};

} // namespace

ExitCode runOperatorRequest(const OperatorRequest &request, const schema::ControlSettings &settings)
{
    return OperatorRun(request, settings).run();
}

} // namespace Eelgrasscleat
