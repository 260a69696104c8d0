/// @file
/// Evaluates changes of contracts like ConfigState, but without bounded history and snapshots.
#include "ChangeModel.h"

namespace Eelgrasscleat
{

void ChangeModel::apply(const schema::ConfigChange &change)
{
    if (verdicts.contains(change.change_id())) {
        return;
    }
    const Verdict verdict = evaluateChange(change);
    verdicts[change.change_id()] = verdict;
    if (verdict.verdict != schema::CHANGE_VERDICT_ACCEPTED) {
        return;
    }
    version = verdict.version;
    for (const schema::Operation &operation : change.operations()) {
        if (operation.has_remove_contract()) {
            limits.erase(operation.remove_contract());
            m_lastChanges[operation.remove_contract()] = { .version = version, .winner = change.change_id() };
            continue;
        }
        const schema::Contract &contract = operation.put_contract();
        limits[contract.customer()] = contract.in_flight_limit();
        m_lastChanges[contract.customer()] = { .version = version, .winner = change.change_id() };
    }
}

ChangeModel::Verdict ChangeModel::evaluateChange(const schema::ConfigChange &change) const
{
    for (const schema::Operation &operation : change.operations()) {
        const bool removes = operation.has_remove_contract();
        const std::string customer = removes ? operation.remove_contract() : operation.put_contract().customer();
        const auto it = m_lastChanges.find(customer);
        if (it != m_lastChanges.end() && it->second.version > change.base_version()) {
            return { .verdict = schema::CHANGE_VERDICT_CONFLICT, .winner = it->second.winner };
        }
        if (removes && !limits.contains(customer)) {
            return { .verdict = schema::CHANGE_VERDICT_INVALID };
        }
    }
    return { .verdict = schema::CHANGE_VERDICT_ACCEPTED, .version = version + 1 };
}

} // namespace Eelgrasscleat
