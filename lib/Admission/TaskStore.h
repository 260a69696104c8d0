/// @file
/// Storage of queued tasks: handles that stay valid, and the tasks of each submission as a linked list.
#pragma once

#include <eelgrasscleat/Admission/TaskQueue.h>

#include <limits>
#include <unordered_map>

namespace Eelgrasscleat
{

/// Number of a task within the store.
using TaskHandle = std::uint32_t;
/// Number of a customer within the queue.
using CustomerIndex = std::uint32_t;

constexpr TaskHandle NoTask = std::numeric_limits<TaskHandle>::max();

/// A queued task as it is stored.
struct StoredTask
{
    TaskRef task;
    Instant queuedAt;
    Instant deadline; ///< Instant::max() for none.
    std::uint64_t sequence = 0; ///< Rises with each task that is queued.
    CustomerIndex customer = 0;
    std::uint32_t submissionTaskCount = 1;
    TaskHandle next = NoTask; ///< In the submission's list, or in the list of unused entries.
    TaskHandle previous = NoTask;
    QueueUrgency urgency = QueueUrgency::Normal;
    bool wasRequeued = false;
};

/// All queued tasks.
class TaskStore
{
public:
    TaskHandle insert(StoredTask task);
    void erase(TaskHandle handle);
    [[nodiscard]] const StoredTask &at(TaskHandle handle) const;
    /// @returns a task of @p submission, NoTask if none is queued.
    [[nodiscard]] TaskHandle anyOf(SubmissionId submission) const;
    [[nodiscard]] std::size_t size() const;

private:
    TaskHandle takeEntry();

    std::vector<StoredTask> m_tasks;
    TaskHandle m_firstUnused = NoTask;
    std::size_t m_size = 0;
    std::unordered_map<SubmissionId, TaskHandle> m_submissions;
};

} // namespace Eelgrasscleat
