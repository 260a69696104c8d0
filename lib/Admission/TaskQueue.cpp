/// @file
/// Queue of tasks: bounds, choice among urgencies, withdrawal and expiry.
#include "UrgencyClass.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <unordered_map>

namespace Eelgrasscleat
{

/// Most starts of more urgent tasks, in a row, that a less urgent one is passed over for.
static constexpr std::uint32_t MostPassedOver = 16;

static constexpr std::size_t UrgencyCount = 3;

namespace
{

struct Customer
{
    std::uint32_t maxQueued = 0;
    std::uint32_t weight = 1;
    std::uint32_t queued = 0;
};

} // namespace

struct TaskQueue::State
{
    explicit State(std::size_t mostTasks)
        : capacity(mostTasks)
    {
    }

    CustomerIndex customerIndex(const CustomerName &name)
    {
        const auto [it, isNew] = customerIndexes.try_emplace(name, static_cast<CustomerIndex>(customers.size()));
        if (isNew) {
            customers.emplace_back();
            names.push_back(name);
        }
        return it->second;
    }

    UrgencyClass &classOf(QueueUrgency urgency)
    {
        return classes.at(static_cast<std::size_t>(urgency));
    }

    void insert(const QueuedTask &task, bool wasRequeued)
    {
        const CustomerIndex customer = customerIndex(task.customer);
        StoredTask stored { .task = task.task,
                            .queuedAt = task.queuedAt,
                            .deadline = task.deadline.value_or(Instant::max()),
                            .sequence = ++lastSequence,
                            .customer = customer,
                            .submissionTaskCount = task.submissionTaskCount,
                            .urgency = task.urgency,
                            .wasRequeued = wasRequeued };
        const TaskHandle handle = store.insert(stored);
        classOf(task.urgency).insert(customer, customers[customer].weight, TaskOrder::of(handle, stored));
        ++customers[customer].queued;
    }

    QueuedTask remove(TaskHandle handle)
    {
        const StoredTask stored = store.at(handle);
        classOf(stored.urgency).erase(stored.customer, TaskOrder::of(handle, stored));
        store.erase(handle);
        --customers[stored.customer].queued;

        QueuedTask task { .task = stored.task,
                          .customer = names[stored.customer],
                          .urgency = stored.urgency,
                          .queuedAt = stored.queuedAt,
                          .deadline = std::nullopt,
                          .submissionTaskCount = stored.submissionTaskCount };
        if (stored.deadline != Instant::max()) {
            task.deadline = stored.deadline;
        }
        return task;
    }

    std::optional<QueuedTask> takeFrom(std::size_t urgency, const CustomerEligibility &eligibility)
    {
        const std::optional<CustomerIndex> customer = classes[urgency].choose(names, eligibility);
        if (!customer) {
            return std::nullopt;
        }
        const QueuedTask task = remove(classes[urgency].front(*customer));
        classes[urgency].advance(*customer);
        passedOver[urgency] = 0;
        for (std::size_t lower = 0; lower < urgency; ++lower) {
            passedOver[lower] = classes[lower].isEmpty() ? 0 : passedOver[lower] + 1;
        }
        return task;
    }

    std::size_t capacity;
    TaskStore store;
    std::uint64_t lastSequence = 0;
    std::unordered_map<CustomerName, CustomerIndex> customerIndexes;
    std::vector<Customer> customers;
    std::vector<CustomerName> names;
    std::array<UrgencyClass, UrgencyCount> classes;
    std::array<std::uint32_t, UrgencyCount> passedOver {}; ///< Starts of more urgent tasks since the last of these.
};

TaskQueue::TaskQueue(std::size_t capacity)
    : m_state(std::make_unique<State>(capacity))
{
}

TaskQueue::~TaskQueue() = default;

void TaskQueue::setCustomer(const CustomerName &customer, std::uint32_t maxQueued, std::uint32_t weight)
{
    const CustomerIndex index = m_state->customerIndex(customer);
    m_state->customers[index].maxQueued = maxQueued;
    m_state->customers[index].weight = std::max(1U, weight);
    for (UrgencyClass &urgencyClass : m_state->classes) {
        urgencyClass.setWeight(index, m_state->customers[index].weight);
    }
}

std::optional<QueueRefusal> TaskQueue::push(const std::vector<QueuedTask> &tasks)
{
    if (tasks.empty()) {
        return std::nullopt;
    }
    const auto isAlike = [&tasks](const QueuedTask &task) {
        return task.customer == tasks.front().customer && task.task.submission == tasks.front().task.submission;
    };
    assert(std::all_of(tasks.begin(), tasks.end(), isAlike) && "tasks of one submission are pushed together");
    static_cast<void>(isAlike);
    if (m_state->store.size() + tasks.size() > m_state->capacity) {
        return QueueRefusal::InstanceFull;
    }
    const auto it = m_state->customerIndexes.find(tasks.front().customer);
    if (it == m_state->customerIndexes.end()) {
        return QueueRefusal::CustomerFull;
    }
    const Customer &customer = m_state->customers[it->second];
    if (customer.queued + tasks.size() > customer.maxQueued) {
        return QueueRefusal::CustomerFull;
    }
    for (const QueuedTask &task : tasks) {
        m_state->insert(task, false);
    }
    return std::nullopt;
}

void TaskQueue::requeue(const QueuedTask &task)
{
    m_state->insert(task, true);
}

std::size_t TaskQueue::removeSubmission(SubmissionId submission)
{
    std::size_t n = 0;
    for (TaskHandle it = m_state->store.anyOf(submission); it != NoTask; it = m_state->store.anyOf(submission)) {
        m_state->remove(it);
        ++n;
    }
    return n;
}

std::optional<QueuedTask> TaskQueue::pop(Instant now, const CustomerEligibility &eligibility)
{
    static_cast<void>(now); // Turns are counted in starts, so that the bound on passing over holds at any load.
    for (std::size_t urgency = 0; urgency < UrgencyCount; ++urgency) {
        if (m_state->passedOver[urgency] < MostPassedOver) {
            continue;
        }
        if (std::optional<QueuedTask> task = m_state->takeFrom(urgency, eligibility)) {
            return task;
        }
    }
    for (std::size_t urgency = UrgencyCount; urgency > 0; --urgency) {
        if (std::optional<QueuedTask> task = m_state->takeFrom(urgency - 1, eligibility)) {
            return task;
        }
    }
    return std::nullopt;
}

std::vector<QueuedTask> TaskQueue::expire(Instant now)
{
    std::vector<TaskHandle> handles;
    for (const UrgencyClass &urgencyClass : m_state->classes) {
        urgencyClass.findExpired(now, handles);
    }
    std::vector<QueuedTask> expired;
    expired.reserve(handles.size());
    for (const TaskHandle handle : handles) {
        expired.push_back(m_state->remove(handle));
    }
    return expired;
}

std::size_t TaskQueue::size() const
{
    return m_state->store.size();
}

std::size_t TaskQueue::size(const CustomerName &customer) const
{
    const auto it = m_state->customerIndexes.find(customer);
    return it == m_state->customerIndexes.end() ? 0 : m_state->customers[it->second].queued;
}

std::vector<CustomerName> TaskQueue::waitingCustomers() const
{
    std::set<CustomerIndex> indexes;
    for (const UrgencyClass &urgencyClass : m_state->classes) {
        urgencyClass.addWaiting(indexes);
    }
    std::vector<CustomerName> customers;
    customers.reserve(indexes.size());
    for (const CustomerIndex index : indexes) {
        customers.push_back(m_state->names[index]);
    }
    return customers;
}

} // namespace Eelgrasscleat
