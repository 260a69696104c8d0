/// @file
/// Weighted fair queueing among the customers of one urgency.
#include "UrgencyClass.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Virtual time by which one task advances a customer of weight 1.
static constexpr std::uint64_t VirtualTimePerTask = 1U << 20U;

TaskSortKey TaskSortKey::of(TaskHandle handle, const StoredTask &task)
{
    return { .isNew = !task.wasRequeued, .deadline = task.deadline, .sequence = task.sequence, .handle = handle };
}

UrgencyClass::CustomerQueue &UrgencyClass::queueOf(CustomerIndex customer)
{
    if (customer >= m_queues.size()) {
        m_queues.resize(customer + 1);
    }
    return m_queues[customer];
}

void UrgencyClass::insert(CustomerIndex customer, std::uint32_t weight, const TaskSortKey &task)
{
    CustomerQueue &queue = queueOf(customer);
    if (queue.tasks.empty()) {
        queue.weight = weight;
        m_startTags.insert({ queue.virtualStart, customer });
    }
    queue.tasks.insert(task);
}

void UrgencyClass::erase(CustomerIndex customer, const TaskSortKey &task)
{
    CustomerQueue &queue = queueOf(customer);
    queue.tasks.erase(task);
    if (queue.tasks.empty()) {
        m_startTags.erase({ queue.virtualStart, customer });
    }
}

void UrgencyClass::setWeight(CustomerIndex customer, std::uint32_t weight)
{
    queueOf(customer).weight = weight;
}

std::optional<CustomerIndex> UrgencyClass::choose(const std::vector<CustomerName> &names,
                                                  const CustomerEligibility &eligibility) const
{
    for (const StartTag &startTag : m_startTags) {
        if (eligibility.canStart(names[startTag.customer])) {
            return startTag.customer;
        }
    }
    return std::nullopt;
}

TaskHandle UrgencyClass::front(CustomerIndex customer) const
{
    return m_queues[customer].tasks.begin()->handle;
}

void UrgencyClass::advance(CustomerIndex customer)
{
    CustomerQueue &queue = queueOf(customer);
    m_startTags.erase({ queue.virtualStart, customer });
    m_virtualTime = std::max(m_virtualTime, queue.virtualStart);
    queue.virtualStart = m_virtualTime + VirtualTimePerTask / queue.weight;
    if (!queue.tasks.empty()) {
        m_startTags.insert({ queue.virtualStart, customer });
    }
}

bool UrgencyClass::isEmpty() const
{
    return m_startTags.empty();
}

void UrgencyClass::findExpired(Instant now, std::vector<TaskHandle> &expired) const
{
    for (const StartTag &startTag : m_startTags) {
        const std::set<TaskSortKey> &tasks = m_queues[startTag.customer].tasks;
        // Requeued and new tasks are each sorted by deadline, so each loop ends at the first unexpired task.
        for (const bool isNew : { false, true }) {
            const TaskSortKey first { .isNew = isNew, .deadline = Instant::min() };
            for (auto it = tasks.lower_bound(first); it != tasks.end(); ++it) {
                if (it->isNew != isNew || it->deadline > now) {
                    break;
                }
                expired.push_back(it->handle);
            }
        }
    }
}

void UrgencyClass::addWaiting(std::set<CustomerIndex> &customers) const
{
    for (const StartTag &startTag : m_startTags) {
        customers.insert(startTag.customer);
    }
}

} // namespace Eelgrasscleat
