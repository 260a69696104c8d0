/// @file
/// Assigns attempt ids and matches the ends of attempts.
#include "AttemptTable.h"

namespace Eelgrasscleat
{

AttemptId AttemptTable::begin(const TaskRef &task)
{
    const AttemptId attempt(++m_lastId);
    m_inProgress.emplace(attempt, task);
    return attempt;
}

std::optional<TaskRef> AttemptTable::end(AttemptId attempt)
{
    const auto it = m_inProgress.find(attempt);
    if (it == m_inProgress.end()) {
        return std::nullopt;
    }
    const TaskRef task = it->second;
    m_inProgress.erase(it);
    return task;
}

} // namespace Eelgrasscleat
