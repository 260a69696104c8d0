/// @file
/// Slab storage of queued tasks.
#include "TaskStore.h"

#include <cassert>

namespace Eelgrasscleat
{

TaskHandle TaskStore::allocateEntry()
{
    if (m_freeListHead == NoTask) {
        m_tasks.emplace_back();
        return static_cast<TaskHandle>(m_tasks.size() - 1);
    }
    const TaskHandle handle = m_freeListHead;
    m_freeListHead = m_tasks[handle].next;
    return handle;
}

TaskHandle TaskStore::insert(StoredTask task)
{
    const TaskHandle handle = allocateEntry();
    const auto [it, isFirst] = m_submissions.try_emplace(task.task.submission, handle);
    task.previous = NoTask;
    task.next = isFirst ? NoTask : it->second;
    if (!isFirst) {
        m_tasks[it->second].previous = handle;
        it->second = handle;
    }
    m_tasks[handle] = task;
    ++m_size;
    return handle;
}

void TaskStore::erase(TaskHandle handle)
{
    StoredTask &task = m_tasks[handle];
    if (task.next != NoTask) {
        m_tasks[task.next].previous = task.previous;
    }
    if (task.previous != NoTask) {
        m_tasks[task.previous].next = task.next;
    } else if (task.next != NoTask) {
        m_submissions[task.task.submission] = task.next;
    } else {
        m_submissions.erase(task.task.submission);
    }
    task = StoredTask();
    task.next = m_freeListHead;
    m_freeListHead = handle;
    --m_size;
}

const StoredTask &TaskStore::at(TaskHandle handle) const
{
    assert(handle < m_tasks.size() && "invalid task handle");
    return m_tasks[handle];
}

TaskHandle TaskStore::findBySubmission(SubmissionId submission) const
{
    const auto it = m_submissions.find(submission);
    return it == m_submissions.end() ? NoTask : it->second;
}

std::size_t TaskStore::size() const
{
    return m_size;
}

} // namespace Eelgrasscleat
