/// @file
/// Slab storage of queued tasks with stable handles. The tasks of a submission form a doubly linked list.
#pragma once

#include <eelgrasscleat/Admission/TaskQueue.h>

#include <limits>
#include <unordered_map>

namespace Eelgrasscleat
{

/// Index of a task within the store.
using TaskHandle = std::uint32_t;
/// Index of a customer within the queue.
using CustomerIndex = std::uint32_t;

constexpr TaskHandle NoTask = std::numeric_limits<TaskHandle>::max();

/// A queued task as it is stored.
struct StoredTask
{
    TaskRef task;
    Instant queuedAt;
    Instant deadline; ///< Instant::max() if there is none.
    std::uint64_t sequence = 0; ///< Increases with each queued task.
    CustomerIndex customer = 0;
    std::uint32_t submissionTaskCount = 1;
    TaskHandle next = NoTask; ///< Next task of the submission, or next entry of the free list.
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
    /// @returns a task of @p submission, or NoTask if none is queued.
    [[nodiscard]] TaskHandle findBySubmission(SubmissionId submission) const;
    [[nodiscard]] std::size_t size() const;

private:
    TaskHandle allocateEntry();

    std::vector<StoredTask> m_tasks;
    TaskHandle m_freeListHead = NoTask;
    std::size_t m_size = 0;
    std::unordered_map<SubmissionId, TaskHandle> m_submissions;
};

} // namespace Eelgrasscleat
