/// @file
/// Table of the attempts in progress. Answers are matched by attempt id, never by connection or order.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

#include <optional>
#include <unordered_map>

namespace Eelgrasscleat
{

/// The attempts of this incarnation that have not ended.
class AttemptTable
{
public:
    /// Begins an attempt. Its id is never reused.
    AttemptId begin(const TaskRef &task);
    /// Ends an attempt. @returns its task, or nothing if the attempt is not in progress.
    std::optional<TaskRef> end(AttemptId attempt);

private:
    std::uint64_t m_lastId = 0;
    std::unordered_map<AttemptId, TaskRef> m_inProgress;
};

} // namespace Eelgrasscleat
