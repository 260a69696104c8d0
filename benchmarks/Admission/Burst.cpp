/// @file
/// Effect of one customer's burst on another customer's waiting and response times, in simulated time, with the fair
/// queue and with one queue in order of arrival.
#include "Benchmarks.h"

#include <eelgrasscleat/Admission/TaskQueue.h>
#include <eelgrasscleat/Support/Random.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;

/// Target: growth of the other customer's p99.
static constexpr double GrowthTarget = 1.10;
/// Slots of all targets together; less than the limits of the two customers add up to.
static constexpr std::uint32_t Slots = 48;
static constexpr std::uint32_t SteadyLimit = 12;
static constexpr std::uint32_t BurstLimit = 40;
static constexpr double SteadyLoad = 0.85; ///< Of its limit.
static constexpr Duration StepTime = milliseconds(1);
static constexpr Duration SimulatedTime = std::chrono::seconds(600);
static constexpr std::uint64_t BurstTasks = 5000;
static constexpr Duration BurstEvery = std::chrono::seconds(20);
static constexpr std::uint64_t LeastRunMs = 50;
static constexpr std::uint64_t RunSpreadMs = 150;

static const CustomerName Steady("roster-desk");
static const CustomerName Bursting("engrave-desk");

namespace
{

struct Percentiles
{
    double waitMs = 0;
    double responseMs = 0;
};

/// Choice of the next task: the queue under measurement, or arrival order.
class Order
{
public:
    virtual ~Order() = default;
    virtual void push(const QueuedTask &task) = 0;
    virtual std::optional<QueuedTask> next(Instant now, const CustomerEligibility &gate) = 0;
};

class FairOrder : public Order
{
public:
    FairOrder()
    {
        m_queue.setCustomer(Steady, 1000000, 1);
        m_queue.setCustomer(Bursting, 1000000, 1);
    }
    void push(const QueuedTask &task) override
    {
        m_queue.push({ task });
    }
    std::optional<QueuedTask> next(Instant now, const CustomerEligibility &gate) override
    {
        return m_queue.pop(now, gate);
    }

private:
    TaskQueue m_queue { 2000000 };
};

class ArrivalOrder : public Order
{
public:
    void push(const QueuedTask &task) override
    {
        m_tasks.push_back(task);
    }
    std::optional<QueuedTask> next(Instant, const CustomerEligibility &gate) override
    {
        if (m_tasks.empty() || !gate.canStart(m_tasks.front().customer)) {
            return std::nullopt;
        }
        const QueuedTask task = m_tasks.front();
        m_tasks.pop_front();
        return task;
    }

private:
    std::deque<QueuedTask> m_tasks;
};

class LimitGate : public CustomerEligibility
{
public:
    [[nodiscard]] bool canStart(const CustomerName &customer) const override
    {
        return customer == Steady ? steadyInFlight < SteadyLimit : burstInFlight < BurstLimit;
    }
    std::uint32_t steadyInFlight = 0;
    std::uint32_t burstInFlight = 0;
};

} // namespace

static double p99(std::vector<double> &values)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

static Percentiles simulate(Order &order, bool hasBursts)
{
    RandomSource arrivals(1);
    RandomSource runTimes(2);
    LimitGate gate;
    std::multimap<Instant, CustomerName> running;
    std::vector<double> waits;
    std::vector<double> responses;
    std::uint64_t lastSubmission = 0;
    const double meanRunMs = LeastRunMs + static_cast<double>(RunSpreadMs) / 2;
    std::poisson_distribution<int> steadyArrivals(SteadyLoad * SteadyLimit / meanRunMs);
    for (Instant now; now.time_since_epoch() < SimulatedTime; now += StepTime) {
        while (!running.empty() && running.begin()->first <= now) {
            --(running.begin()->second == Steady ? gate.steadyInFlight : gate.burstInFlight);
            running.erase(running.begin());
        }
        const auto push = [&](const CustomerName &customer) {
            order.push({ TaskRef { SubmissionId(++lastSubmission), 0 }, customer, QueueUrgency::Normal, now });
        };
        if (hasBursts && now.time_since_epoch() % BurstEvery == Duration::zero()) {
            for (std::uint64_t i = 0; i < BurstTasks; ++i) {
                push(Bursting);
            }
        }
        for (int n = steadyArrivals(arrivals); n > 0; --n) {
            push(Steady);
        }
        while (running.size() < Slots) {
            const std::optional<QueuedTask> task = order.next(now, gate);
            if (!task) {
                break;
            }
            // Run times of the steady customer are the same with and without bursts.
            const bool isSteady = task->customer == Steady;
            const std::uint64_t ms = isSteady ? LeastRunMs + drawBelow(runTimes, RunSpreadMs)
                                              : LeastRunMs + task->task.submission.value % RunSpreadMs;
            running.emplace(now + milliseconds(ms), task->customer);
            ++(isSteady ? gate.steadyInFlight : gate.burstInFlight);
            if (isSteady) {
                const double waited = std::chrono::duration<double, std::milli>(now - task->queuedAt).count();
                waits.push_back(waited);
                responses.push_back(waited + static_cast<double>(ms));
            }
        }
    }
    return { p99(waits), p99(responses) };
}

bool benchmarkBurst()
{
    std::printf("p99 of a steady customer while another sends %llu tasks every %lld s; %u slots, limits %u and %u "
                "(target %.2f times, fair queue)\n",
                static_cast<unsigned long long>(BurstTasks),
                static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(BurstEvery).count()),
                Slots,
                SteadyLimit,
                BurstLimit,
                GrowthTarget);
    std::printf("%-14s %-9s %12s %12s %7s\n", "order", "figure", "alone ms", "bursts ms", "ratio");
    const auto print = [](const char *order, const char *figure, double alone, double bursts) {
        std::printf("%-14s %-9s %12.1f %12.1f %7.2f\n", order, figure, alone, bursts, bursts / alone);
    };
    ArrivalOrder arrivalAlone;
    ArrivalOrder arrivalBursts;
    Percentiles alone = simulate(arrivalAlone, false);
    Percentiles bursts = simulate(arrivalBursts, true);
    print("arrival order", "wait", alone.waitMs, bursts.waitMs);
    print("arrival order", "response", alone.responseMs, bursts.responseMs);
    FairOrder fairAlone;
    FairOrder fairBursts;
    alone = simulate(fairAlone, false);
    bursts = simulate(fairBursts, true);
    print("fair queue", "wait", alone.waitMs, bursts.waitMs);
    print("fair queue", "response", alone.responseMs, bursts.responseMs);
    const bool isGood =
        bursts.waitMs <= GrowthTarget * alone.waitMs && bursts.responseMs <= GrowthTarget * alone.responseMs;
    std::printf("%s\n\n", isGood ? "within the target" : "MISSED THE TARGET");
    return isGood;
}

} // namespace Eelgrasscleat
