/// @file
/// Operations from names and the published configuration.
#include "ChangeBuilder.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <utility>

namespace Eelgrasscleat
{

static Error unknownSubject(const std::string &kind, const std::string &name)
{
    return Error { ErrorCode::NotFound, Step::CheckContract, name, "no such " + kind };
}

Result<Operations> publishContracts(const ConfigState &state, std::vector<schema::Contract> contracts)
{
    Operations operations;
    for (schema::Contract &contract : contracts) {
        if (contract.key_sha256().empty()) {
            const auto *published = state.contract(CustomerName(contract.customer()));
            if (published == nullptr) {
                return Error { ErrorCode::Invalid,
                               Step::CheckContract,
                               contract.customer(),
                               "a new contract needs its customer's key: --key-file" };
            }
            contract.set_key_sha256(published->key_sha256());
        }
        *operations.emplace_back().mutable_put_contract() = std::move(contract);
    }
    return operations;
}

Result<Operations> removeContracts(const ConfigState &state, const std::vector<std::string> &customers)
{
    Operations operations;
    for (const std::string &it : customers) {
        if (state.contract(CustomerName(it)) == nullptr) {
            return unknownSubject("contract", it);
        }
        operations.emplace_back().set_remove_contract(it);
    }
    return operations;
}

Operations addTargets(const ConfigState &state, std::vector<schema::Target> targets)
{
    Operations operations;
    for (schema::Target &target : targets) {
        const auto published = state.targets().find(TargetName(target.name()));
        const bool known = published != state.targets().end();
        target.set_state(known ? published->second.state() : schema::TARGET_STATE_ACTIVE);
        *operations.emplace_back().mutable_put_target() = std::move(target);
    }
    return operations;
}

Result<Operations>
changeTargets(const ConfigState &state, const std::vector<std::string> &names, schema::TargetState wanted)
{
    Operations operations;
    for (const std::string &it : names) {
        const auto published = state.targets().find(TargetName(it));
        if (published == state.targets().end()) {
            return unknownSubject("target", it);
        }
        schema::Target &target = *operations.emplace_back().mutable_put_target();
        target = published->second;
        target.set_state(wanted);
    }
    return operations;
}

Result<Operations> retireTargets(const ConfigState &state, const std::vector<std::string> &names)
{
    Operations operations;
    for (const std::string &it : names) {
        if (!state.targets().contains(TargetName(it))) {
            return unknownSubject("target", it);
        }
        operations.emplace_back().set_remove_target(it);
    }
    return operations;
}

schema::ContractView viewContract(const schema::Contract &contract)
{
    schema::ContractView view;
    view.set_customer(contract.customer());
    view.set_service(contract.service());
    view.set_key_fingerprint(keyFingerprint(contract.key_sha256()));
    view.set_in_flight_limit(contract.in_flight_limit());
    view.set_urgency(std::string(urgencyName(contract.urgency())));
    view.set_idempotent(contract.idempotent());
    view.set_max_run_ms(contract.max_run_ms());
    view.set_max_queued(contract.max_queued());
    return view;
}

static std::string fieldText(const schema::ContractView &view, const google::protobuf::FieldDescriptor &field)
{
    using google::protobuf::FieldDescriptor;
    const auto *reflection = schema::ContractView::GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return reflection->GetString(view, &field);
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection->GetBool(view, &field) ? "true" : "false";
    default:
        return std::to_string(reflection->GetUInt32(view, &field));
    }
}

std::vector<schema::FieldDifference> diffContract(const ConfigState &state, const schema::Contract &wanted)
{
    const auto *published = state.contract(CustomerName(wanted.customer()));
    const schema::ContractView after = viewContract(wanted);
    const schema::ContractView before = published == nullptr ? schema::ContractView() : viewContract(*published);
    std::vector<schema::FieldDifference> differences;
    const auto *descriptor = schema::ContractView::GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const auto &field = *descriptor->field(i);
        // A file without a key keeps the published one.
        if (field.number() == schema::ContractView::kKeyFingerprintFieldNumber && wanted.key_sha256().empty()) {
            continue;
        }
        const std::string old = published == nullptr ? std::string() : fieldText(before, field);
        const std::string now = fieldText(after, field);
        if (published != nullptr && old == now) {
            continue;
        }
        schema::FieldDifference &difference = differences.emplace_back();
        difference.set_customer(wanted.customer());
        difference.set_field(field.name());
        difference.set_published(old);
        difference.set_file(now);
    }
    return differences;
}

} // namespace Eelgrasscleat
