/// @file
/// Bounded queue of the tasks of all customers on one entry instance. Schedules by urgency, weighted fair sharing among
/// customers, and deadline, and cancels a submission without a scan. The class reads no clock and starts no thread.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Priority of a customer's requests.
enum class QueueUrgency
{
    Patient,
    Normal,
    Urgent,
};

/// A task that waits to be started.
struct QueuedTask
{
    TaskRef task;
    CustomerName customer;
    QueueUrgency urgency = QueueUrgency::Normal;
    Instant queuedAt;
    std::optional<Instant> deadline; ///< The task expires if it has not started by then.
    std::uint32_t submissionTaskCount = 1;
};

/// Reason for which tasks were not queued.
enum class QueueRefusal
{
    InstanceFull,
    CustomerFull,
};

/// Tells the queue which customers have a free permit.
class CustomerEligibility
{
public:
    virtual ~CustomerEligibility() = default;
    /// @returns whether a task of @p customer may start now.
    [[nodiscard]] virtual bool canStart(const CustomerName &customer) const = 0;
};

/// Bounded multi-customer priority queue.
class TaskQueue
{
public:
    /// @param capacity maximum number of queued tasks over all customers
    explicit TaskQueue(std::size_t capacity);
    ~TaskQueue();
    TaskQueue(const TaskQueue &) = delete;
    TaskQueue &operator=(const TaskQueue &) = delete;

    /// Sets a customer's maximum number of queued tasks and its weight among customers of the same urgency.
    void setCustomer(const CustomerName &customer, std::uint32_t maxQueued, std::uint32_t weight);

    /// Queues either all tasks of a submission or none.
    /// @returns the reason if they were refused, std::nullopt otherwise.
    std::optional<QueueRefusal> push(const std::vector<QueuedTask> &tasks);
    /// Requeues a task that is known not to have been started, ahead of the customer's other tasks. Ignores the bounds.
    void requeue(const QueuedTask &task);
    /// Removes the queued tasks of a submission. The cost depends on their number, not on the queue's length.
    /// @returns the number of removed tasks.
    std::size_t removeSubmission(SubmissionId submission);
    /// Removes and returns the next task to start, considering only customers that can start one.
    std::optional<QueuedTask> pop(Instant now, const CustomerEligibility &eligibility);
    /// Removes and returns the tasks whose deadline has passed.
    std::vector<QueuedTask> expire(Instant now);

    /// @returns the number of queued tasks of all customers.
    [[nodiscard]] std::size_t size() const;
    /// @returns the number of queued tasks of a customer.
    [[nodiscard]] std::size_t size(const CustomerName &customer) const;
    /// @returns the customers that have queued tasks.
    [[nodiscard]] std::vector<CustomerName> waitingCustomers() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Eelgrasscleat
