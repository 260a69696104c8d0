/// @file
/// Queued tasks of one urgency: weighted fair among customers, earliest deadline first within a customer.
///
/// Start-time fair queueing: each customer has a virtual start time that advances by 1/weight with each task taken;
/// the customer with the least one is served next. A customer that could not be served (nothing queued, or no permit)
/// is moved up to the present virtual time when it is served again, so it can't save up turns.
#pragma once

#include "TaskStore.h"

#include <set>

namespace Eelgrasscleat
{

/// Place of a task within its customer: tasks put back first, then by deadline, then in order of arrival.
struct TaskOrder
{
    bool isNew = true;
    Instant deadline;
    std::uint64_t sequence = 0;
    TaskHandle handle = NoTask;
    auto operator<=>(const TaskOrder &) const = default;

    [[nodiscard]] static TaskOrder of(TaskHandle handle, const StoredTask &task);
};

/// Tasks of one urgency.
class UrgencyClass
{
public:
    /// Adds a task of a customer; @p weight is the customer's present one, above 0.
    void insert(CustomerIndex customer, std::uint32_t weight, const TaskOrder &task);
    void erase(CustomerIndex customer, const TaskOrder &task);
    void setWeight(CustomerIndex customer, std::uint32_t weight);

    /// @param names names of the customers, by index
    /// @returns the customer to serve next among those whose gate is open.
    [[nodiscard]] std::optional<CustomerIndex> choose(const std::vector<CustomerName> &names,
                                                      const CustomerEligibility &eligibility) const;
    /// @returns the first task of a customer that has one.
    [[nodiscard]] TaskHandle front(CustomerIndex customer) const;
    /// Counts a turn of @p customer.
    void advance(CustomerIndex customer);

    [[nodiscard]] bool isEmpty() const;
    /// Adds the tasks whose deadline is at or before @p now to @p expired.
    void findExpired(Instant now, std::vector<TaskHandle> &expired) const;
    /// Adds the customers with tasks of this urgency to @p customers.
    void addWaiting(std::set<CustomerIndex> &customers) const;

private:
    struct Lane
    {
        std::set<TaskOrder> tasks;
        std::uint64_t virtualStart = 0;
        std::uint32_t weight = 1;
    };
    struct Turn
    {
        std::uint64_t virtualStart = 0;
        CustomerIndex customer = 0;
        auto operator<=>(const Turn &) const = default;
    };

    Lane &lane(CustomerIndex customer);

    std::vector<Lane> m_lanes; ///< By customer.
    std::set<Turn> m_turns; ///< Customers with tasks.
    std::uint64_t m_virtualTime = 0;
};

} // namespace Eelgrasscleat
