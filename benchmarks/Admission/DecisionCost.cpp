/// @file
/// Time of one admission decision (queue, choose, take a permit, give it back) with many customers against few, and
/// the memory of a queued task.
#include "Benchmarks.h"
#include "LedgerCluster.h"

#include <eelgrasscleat/Admission/TaskQueue.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace Eelgrasscleat
{

/// Target: cost with 150 customers against 3.
static constexpr double RatioTarget = 2;
static constexpr std::size_t FewCustomers = 3;
static constexpr std::size_t ManyCustomers = 150;
static constexpr int Rounds = 15;
static constexpr std::size_t DecisionsPerRound = 20000;
static constexpr std::size_t TasksWaiting = 10; ///< Of each active customer.
static constexpr std::uint32_t QueueCapacity = 200000;

namespace
{

class LedgerGate : public CustomerEligibility
{
public:
    LedgerGate(const PermitLedger &ledger, Instant now)
        : m_ledger(ledger)
        , m_now(now)
    {
    }
    [[nodiscard]] bool canStart(const CustomerName &customer) const override
    {
        return m_ledger.free(ResourceName(customer.value), m_now) > 0;
    }

private:
    const PermitLedger &m_ledger;
    Instant m_now;
};

/// One entry instance with customers whose limits are known; @c active of them send work.
class Decisions
{
public:
    Decisions(std::size_t customers, std::size_t active)
        : m_cluster(customers, 90)
        , m_active(active)
    {
        for (std::size_t i = 0; i < customers; ++i) {
            m_queue.setCustomer(CustomerName(customerName(i).value), QueueCapacity, 1);
        }
        // Each active customer has tasks waiting all the time.
        for (std::size_t i = 0; i < TasksWaiting * m_active; ++i) {
            push(i);
        }
    }

    /// @returns the nanoseconds of one decision.
    double round()
    {
        PermitLedger &ledger = m_cluster.ledger(0);
        const LedgerGate gate(ledger, m_cluster.now());
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < DecisionsPerRound; ++i) {
            push(i);
            const std::optional<QueuedTask> next = m_queue.pop(m_cluster.now(), gate);
            const ResourceName resource(next->customer.value);
            const std::optional<Permit> permit = ledger.tryAcquire(resource, m_cluster.now());
            ledger.release(*permit, m_cluster.now());
        }
        const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
        return time.count() / DecisionsPerRound;
    }

private:
    void push(std::size_t i)
    {
        QueuedTask task;
        task.task.submission = SubmissionId(++m_lastSubmission);
        task.customer.value = customerName(i % m_active).value;
        m_queue.push({ task });
    }

    LedgerCluster m_cluster;
    TaskQueue m_queue { QueueCapacity };
    std::size_t m_active;
    std::uint64_t m_lastSubmission = 0;
};

} // namespace

/// Tasks queued to measure their memory, and of each submission.
static constexpr std::uint32_t MemoryTasks = 100000;
static constexpr std::uint32_t MemoryBatch = 100;

static std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static double bytesPerQueuedTask()
{
    TaskQueue queue(MemoryTasks);
    queue.setCustomer(CustomerName("engrave-desk"), MemoryTasks, 1);
    std::vector<QueuedTask> tasks(MemoryBatch);
    const std::size_t before = allocatedBytes();
    for (std::uint32_t i = 0; i < MemoryTasks / MemoryBatch; ++i) {
        for (std::uint32_t index = 0; index < MemoryBatch; ++index) {
            tasks[index].task = { SubmissionId(i + 1), index };
            tasks[index].customer.value = "engrave-desk";
        }
        queue.push(tasks);
    }
    return static_cast<double>(allocatedBytes() - before) / MemoryTasks;
}

bool benchmarkDecisionCost()
{
    Decisions few(FewCustomers, FewCustomers);
    Decisions idle(ManyCustomers, FewCustomers);
    Decisions many(ManyCustomers, ManyCustomers);
    double fewTime = 1e9;
    double idleTime = 1e9;
    double manyTime = 1e9;
    // The rounds take turns and the least time of each counts, so a busy machine slows all alike.
    for (int i = 0; i < Rounds; ++i) {
        fewTime = std::min(fewTime, few.round());
        idleTime = std::min(idleTime, idle.round());
        manyTime = std::min(manyTime, many.round());
    }
    std::printf("One admission decision: push, next, tryAcquire, release (target %.1f times the cost of 3)\n",
                RatioTarget);
    std::printf("%-32s %8s %7s\n", "customers", "ns", "ratio");
    std::printf("%-32s %8.0f %7.2f\n", "3", fewTime, 1.0);
    std::printf("%-32s %8.0f %7.2f\n", "150, of which 3 send work", idleTime, idleTime / fewTime);
    std::printf("%-32s %8.0f %7.2f\n", "150, all send work", manyTime, manyTime / fewTime);
    std::printf("memory of a queued task: %.0f bytes\n", bytesPerQueuedTask());
    const bool isGood = idleTime <= RatioTarget * fewTime && manyTime <= RatioTarget * fewTime;
    std::printf("%s\n\n", isGood ? "within the target" : "MISSED THE TARGET");
    return isGood;
}

} // namespace Eelgrasscleat
