/// @file
/// Replays the "config" stream and judges changes by one rule over log order.
#include <eelgrasscleat/Contract/ConfigState.h>

#include "ChangeRules.h"

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// Results that are remembered, for the history and for records that repeat a change id.
constexpr std::size_t MaxResults = 512;
/// Versions for which the removal of a contract or target is remembered, for judging conflicts.
constexpr std::uint64_t RemovalWindow = 4096;
/// Versions between two searches for removals that may be forgotten.
constexpr std::uint64_t PruneInterval = 256;

Error applyError(ErrorCode code, std::string detail)
{
    return { .code = code, .step = Step::ApplyConfig, .peer = {}, .detail = std::move(detail) };
}

schema::ChangeResult makeResult(std::uint64_t offset, const schema::ConfigChange &change)
{
    schema::ChangeResult result;
    result.set_change_id(change.change_id());
    result.set_author(change.author());
    result.set_reason(change.reason());
    result.set_at_ms(change.at_ms());
    result.set_offset(offset);
    return result;
}

schema::ChangeResult invalidResult(schema::ChangeResult result, std::string detail)
{
    result.set_verdict(schema::CHANGE_VERDICT_INVALID);
    result.set_detail(std::move(detail));
    return result;
}

schema::ChangeResult conflictResult(schema::ChangeResult result, const std::string &winner, std::string detail)
{
    result.set_verdict(schema::CHANGE_VERDICT_CONFLICT);
    result.set_winner_change_id(winner);
    result.set_detail(std::move(detail));
    return result;
}

} // namespace

Result<std::optional<schema::ChangeResult>> ConfigState::apply(std::uint64_t offset, const schema::ConfigRecord &record)
{
    if (offset < m_nextOffset) {
        return std::optional<schema::ChangeResult>();
    }
    if (offset > m_nextOffset) {
        // A snapshot can't tell of records at or after its own place in the log.
        const bool bridges = record.has_snapshot() && record.snapshot().next_offset() <= offset;
        if (bridges && restore(record.snapshot())) {
            return std::optional<schema::ChangeResult>();
        }
        return applyError(ErrorCode::NotFound, "records from offset " + std::to_string(m_nextOffset) + " are missing");
    }
    ++m_nextOffset;
    if (record.has_snapshot()) {
        return std::optional<schema::ChangeResult>();
    }
    if (!record.has_change()) {
        return std::optional(invalidResult(makeResult(offset, {}), "the record is broken"));
    }
    const schema::ConfigChange &change = record.change();
    if (auto first = findDuplicate(change)) {
        return first;
    }
    schema::ChangeResult result = evaluateChange(offset, change);
    if (result.verdict() == schema::CHANGE_VERDICT_ACCEPTED) {
        applyChange(change);
    }
    recordResult(result);
    return std::optional(std::move(result));
}

std::optional<schema::ChangeResult> ConfigState::findDuplicate(const schema::ConfigChange &change) const
{
    if (change.change_id().empty()) {
        return std::nullopt;
    }
    if (auto known = result(change.change_id())) {
        return known;
    }
    // The subjects name their last change for longer than results are kept.
    for (const schema::Operation &operation : change.operations()) {
        const auto it = m_subjects.find(operationSubject(operation));
        if (it != m_subjects.end() && it->second.change_id() == change.change_id()) {
            schema::ChangeResult accepted = makeResult(m_nextOffset - 1, change);
            accepted.set_verdict(schema::CHANGE_VERDICT_ACCEPTED);
            accepted.set_version(it->second.version());
            return accepted;
        }
    }
    return std::nullopt;
}

schema::ChangeResult ConfigState::evaluateChange(std::uint64_t offset, const schema::ConfigChange &change) const
{
    schema::ChangeResult result = makeResult(offset, change);
    const Result<Done> valid = validateChange(change);
    if (!isOk(valid)) {
        return invalidResult(std::move(result), std::get<Error>(valid).detail);
    }
    if (change.base_version() > m_version) {
        return invalidResult(std::move(result), "base_version is above the current version");
    }
    for (const schema::Operation &operation : change.operations()) {
        const std::string subject = operationSubject(operation);
        const auto it = m_subjects.find(subject);
        if (it != m_subjects.end() && it->second.version() > change.base_version()) {
            return conflictResult(
                std::move(result), it->second.change_id(), subject + " was changed after base_version");
        }
        // A removal that is no longer remembered may have happened after base_version.
        if (it == m_subjects.end() && change.base_version() + RemovalWindow < m_version) {
            return conflictResult(std::move(result), {}, "base_version is too old to judge " + subject);
        }
    }
    for (const schema::Operation &operation : change.operations()) {
        const std::string subject = operationSubject(operation);
        if (isRemoval(operation) && !subjectExists(subject)) {
            return invalidResult(std::move(result), subject + " does not exist");
        }
    }
    result.set_verdict(schema::CHANGE_VERDICT_ACCEPTED);
    result.set_version(m_version + 1);
    return result;
}

void ConfigState::applyChange(const schema::ConfigChange &change)
{
    ++m_version;
    for (const schema::Operation &operation : change.operations()) {
        switch (operation.kind_case()) {
        case schema::Operation::kPutContract:
            m_contracts[CustomerName(operation.put_contract().customer())] = operation.put_contract();
            break;
        case schema::Operation::kRemoveContract:
            m_contracts.erase(CustomerName(operation.remove_contract()));
            break;
        case schema::Operation::kPutTarget:
            m_targets[TargetName(operation.put_target().name())] = operation.put_target();
            break;
        case schema::Operation::kRemoveTarget:
            m_targets.erase(TargetName(operation.remove_target()));
            break;
        case schema::Operation::KIND_NOT_SET:
            break;
        }
        const std::string subject = operationSubject(operation);
        schema::SubjectVersion &last = m_subjects[subject];
        last.set_subject(subject);
        last.set_version(m_version);
        last.set_change_id(change.change_id());
    }
    if (m_version % PruneInterval == 0) {
        pruneRemovals();
    }
}

void ConfigState::pruneRemovals()
{
    std::erase_if(m_subjects, [this](const auto &entry) {
        const bool isOld = entry.second.version() + RemovalWindow < m_version;
        return isOld && !subjectExists(entry.first);
    });
}

bool ConfigState::subjectExists(const std::string &subject) const
{
    const std::string name = subject.substr(subject.find('/') + 1);
    if (subject.starts_with(ContractSubjectPrefix)) {
        return m_contracts.contains(CustomerName(name));
    }
    return m_targets.contains(TargetName(name));
}

void ConfigState::recordResult(schema::ChangeResult result)
{
    if (result.change_id().empty()) {
        return;
    }
    m_results.push_back(std::move(result));
    if (m_results.size() > MaxResults) {
        m_results.pop_front();
    }
}

bool ConfigState::restore(const schema::ConfigSnapshot &snapshot)
{
    if (snapshot.next_offset() <= m_nextOffset || snapshot.version() < m_version) {
        return false;
    }
    m_nextOffset = snapshot.next_offset();
    m_version = snapshot.version();
    m_contracts.clear();
    for (const schema::Contract &contract : snapshot.contracts()) {
        m_contracts[CustomerName(contract.customer())] = contract;
    }
    m_targets.clear();
    for (const schema::Target &target : snapshot.targets()) {
        m_targets[TargetName(target.name())] = target;
    }
    m_subjects.clear();
    for (const schema::SubjectVersion &subject : snapshot.subjects()) {
        m_subjects[subject.subject()] = subject;
    }
    m_results.assign(snapshot.recent_results().begin(), snapshot.recent_results().end());
    return true;
}

schema::ConfigSnapshot ConfigState::snapshot() const
{
    schema::ConfigSnapshot snapshot;
    snapshot.set_next_offset(m_nextOffset);
    snapshot.set_version(m_version);
    for (const auto &[customer, contract] : m_contracts) {
        *snapshot.add_contracts() = contract;
    }
    for (const auto &[name, target] : m_targets) {
        *snapshot.add_targets() = target;
    }
    for (const auto &[subject, version] : m_subjects) {
        *snapshot.add_subjects() = version;
    }
    for (const schema::ChangeResult &result : m_results) {
        *snapshot.add_recent_results() = result;
    }
    return snapshot;
}

std::uint64_t ConfigState::version() const
{
    return m_version;
}

std::uint64_t ConfigState::nextOffset() const
{
    return m_nextOffset;
}

const schema::Contract *ConfigState::contract(const CustomerName &customer) const
{
    const auto it = m_contracts.find(customer);
    return it == m_contracts.end() ? nullptr : &it->second;
}

const std::map<CustomerName, schema::Contract> &ConfigState::contracts() const
{
    return m_contracts;
}

const std::map<TargetName, schema::Target> &ConfigState::targets() const
{
    return m_targets;
}

std::optional<schema::ChangeResult> ConfigState::result(const std::string &changeId) const
{
    const auto it = std::find_if(
        m_results.rbegin(), m_results.rend(), [&changeId](const auto &known) { return known.change_id() == changeId; });
    if (it == m_results.rend()) {
        return std::nullopt;
    }
    return *it;
}

const std::deque<schema::ChangeResult> &ConfigState::history() const
{
    return m_results;
}

} // namespace Eelgrasscleat
