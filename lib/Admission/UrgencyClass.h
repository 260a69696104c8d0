/// @file
/// Queued tasks of one urgency: weighted fair queueing among customers, earliest deadline first within a customer.
///
/// Start-time fair queueing: each customer has a virtual start time that advances by 1/weight with each task started;
/// the customer with the smallest one is served next. When a customer that had no task or no permit is served again,
/// its start time advances to the current virtual time, so that it gains no credit for the time it was not served.
#pragma once

#include "TaskStore.h"

#include <set>

namespace Eelgrasscleat
{

/// Sort key of a task within its customer: requeued tasks first, then by deadline, then in order of arrival.
struct TaskSortKey
{
    bool isNew = true;
    Instant deadline;
    std::uint64_t sequence = 0;
    TaskHandle handle = NoTask;
    auto operator<=>(const TaskSortKey &) const = default;

    [[nodiscard]] static TaskSortKey of(TaskHandle handle, const StoredTask &task);
};

/// Fair queue for the tasks of one urgency.
class UrgencyClass
{
public:
    /// Adds a task of a customer.
    /// @param weight current weight of the customer, greater than 0
    void insert(CustomerIndex customer, std::uint32_t weight, const TaskSortKey &task);
    void erase(CustomerIndex customer, const TaskSortKey &task);
    void setWeight(CustomerIndex customer, std::uint32_t weight);

    /// @param names names of the customers, by index
    /// @returns the customer to serve next among those that can start a task.
    [[nodiscard]] std::optional<CustomerIndex> choose(const std::vector<CustomerName> &names,
                                                      const CustomerEligibility &eligibility) const;
    /// @returns the first task of a customer that has one.
    [[nodiscard]] TaskHandle front(CustomerIndex customer) const;
    /// Advances the virtual start time of @p customer after one of its tasks was started.
    void advance(CustomerIndex customer);

    [[nodiscard]] bool isEmpty() const;
    /// Adds the tasks whose deadline is at or before @p now to @p expired.
    void findExpired(Instant now, std::vector<TaskHandle> &expired) const;
    /// Adds the customers with tasks of this urgency to @p customers.
    void addWaiting(std::set<CustomerIndex> &customers) const;

private:
    struct CustomerQueue
    {
        std::set<TaskSortKey> tasks;
        std::uint64_t virtualStart = 0;
        std::uint32_t weight = 1;
    };
    struct StartTag
    {
        std::uint64_t virtualStart = 0;
        CustomerIndex customer = 0;
        auto operator<=>(const StartTag &) const = default;
    };

    CustomerQueue &queueOf(CustomerIndex customer);

    std::vector<CustomerQueue> m_queues; ///< By customer.
    std::set<StartTag> m_startTags; ///< Customers with tasks, by virtual start time.
    std::uint64_t m_virtualTime = 0;
};

} // namespace Eelgrasscleat
