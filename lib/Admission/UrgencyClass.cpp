/// @file
/// Weighted fair queueing among the customers of one urgency.
#include "UrgencyClass.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Virtual time that one turn of a customer of weight 1 takes.
static constexpr std::uint64_t VirtualTurn = 1U << 20U;

TaskOrder TaskOrder::of(TaskHandle handle, const StoredTask &task)
{
    return { .isNew = !task.wasRequeued, .deadline = task.deadline, .sequence = task.sequence, .handle = handle };
}

UrgencyClass::Lane &UrgencyClass::lane(CustomerIndex customer)
{
    if (customer >= m_lanes.size()) {
        m_lanes.resize(customer + 1);
    }
    return m_lanes[customer];
}

void UrgencyClass::insert(CustomerIndex customer, std::uint32_t weight, const TaskOrder &task)
{
    Lane &own = lane(customer);
    if (own.tasks.empty()) {
        own.weight = weight;
        m_turns.insert({ own.virtualStart, customer });
    }
    own.tasks.insert(task);
}

void UrgencyClass::erase(CustomerIndex customer, const TaskOrder &task)
{
    Lane &own = lane(customer);
    own.tasks.erase(task);
    if (own.tasks.empty()) {
        m_turns.erase({ own.virtualStart, customer });
    }
}

void UrgencyClass::setWeight(CustomerIndex customer, std::uint32_t weight)
{
    lane(customer).weight = weight;
}

std::optional<CustomerIndex> UrgencyClass::choose(const std::vector<CustomerName> &names,
                                                  const CustomerEligibility &eligibility) const
{
    for (const Turn &turn : m_turns) {
        if (eligibility.canStart(names[turn.customer])) {
            return turn.customer;
        }
    }
    return std::nullopt;
}

TaskHandle UrgencyClass::front(CustomerIndex customer) const
{
    return m_lanes[customer].tasks.begin()->handle;
}

void UrgencyClass::advance(CustomerIndex customer)
{
    Lane &own = lane(customer);
    m_turns.erase({ own.virtualStart, customer });
    m_virtualTime = std::max(m_virtualTime, own.virtualStart);
    own.virtualStart = m_virtualTime + VirtualTurn / own.weight;
    if (!own.tasks.empty()) {
        m_turns.insert({ own.virtualStart, customer });
    }
}

bool UrgencyClass::isEmpty() const
{
    return m_turns.empty();
}

void UrgencyClass::findExpired(Instant now, std::vector<TaskHandle> &expired) const
{
    for (const Turn &turn : m_turns) {
        const std::set<TaskOrder> &tasks = m_lanes[turn.customer].tasks;
        // Tasks put back and new tasks are each sorted by deadline, so each walk ends at the first that has time left.
        for (const bool isNew : { false, true }) {
            const TaskOrder first { .isNew = isNew, .deadline = Instant::min() };
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
    for (const Turn &turn : m_turns) {
        customers.insert(turn.customer);
    }
}

} // namespace Eelgrasscleat
