/// @file
/// Control traffic of the ledgers under work that arrives on all instances, or on one at a time, against one owner for
/// each customer and zone that is asked for every task.
#include "Benchmarks.h"
#include "LedgerCluster.h"

#include <eelgrasscleat/Support/Random.h>

#include <algorithm>
#include <cstdio>

namespace Eelgrasscleat
{

/// Target: bytes a second that a node spends on control.
static constexpr double BytesTarget = 3000;
static constexpr Duration WarmUp = std::chrono::seconds(10);
static constexpr Duration Measured = std::chrono::seconds(40);
static constexpr Duration StepTime = std::chrono::milliseconds(10);
static constexpr Duration MoveEvery = std::chrono::seconds(10);
/// Run times are drawn evenly up to this, so the mean is half of it.
static constexpr Duration MostRunTime = std::chrono::milliseconds(400);
/// Part of each limit that is in use on average.
static constexpr double Load = 0.6;

namespace
{

enum class Arrivals
{
    EvenOverInstances,
    OneInstanceMoving,
};

struct TrafficFigures
{
    double messages = 0; ///< A second, busiest node.
    double bytes = 0;
    double waitMs = 0; ///< Mean wait of a task for a permit.
    double ownerBytes = 0; ///< Of the owner way, average node.
};

/// Work of all customers on the cluster.
class Workload
{
public:
    Workload(std::size_t customers, std::uint32_t limit, Arrivals arrivals)
        : m_cluster(customers, limit)
        , m_customers(customers)
        , m_limit(limit)
        , m_arrivals(arrivals)
        , m_waiting(customers * InstanceCount)
    {
    }

    TrafficFigures run()
    {
        runFor(WarmUp);
        m_cluster.resetTraffic();
        m_tasks = 0;
        m_waited = Duration::zero();
        runFor(Measured);
        const double time = std::chrono::duration<double>(Measured).count();
        TrafficFigures figures;
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            figures.messages = std::max(figures.messages, static_cast<double>(m_cluster.traffic(i).messages) / time);
            figures.bytes = std::max(figures.bytes, static_cast<double>(m_cluster.traffic(i).bytes) / time);
        }
        figures.waitMs = std::chrono::duration<double, std::milli>(m_waited).count() / static_cast<double>(m_tasks);
        // Two tasks of three reach an instance that is not the owner in its zone; request, grant and return each.
        const double remoteTasks = static_cast<double>(m_tasks) * 2 / 3 / time;
        figures.ownerBytes = remoteTasks * static_cast<double>(ownerBytesPerTask()) / InstanceCount;
        return figures;
    }

private:
    struct Work
    {
        std::size_t instance = 0;
        Permit permit;
    };

    static std::size_t ownerBytesPerTask()
    {
        schema::PeerMessage message;
        message.set_from_instance("entry-0");
        message.set_from_incarnation(0xf1a9d3c57e8b2460U);
        message.set_to_incarnation(0xf1a9d3c57e8b2461U);
        message.mutable_loan_request()->set_request_id(100000);
        message.mutable_loan_request()->add_items()->set_resource("customer-0");
        std::size_t bytes = message.ByteSizeLong();
        message.mutable_loan_grant()->set_request_id(100000);
        message.mutable_loan_grant()->set_loan_id(100000);
        bytes += message.ByteSizeLong();
        message.mutable_loan_return()->set_loan_id(100000);
        return bytes + message.ByteSizeLong();
    }

    void runFor(Duration time)
    {
        const Instant end = m_cluster.now() + time;
        while (m_cluster.now() < end) {
            m_cluster.advance(StepTime);
            finishWork();
            for (std::size_t customer = 0; customer < m_customers; ++customer) {
                arrive(customer);
            }
            for (std::size_t i = 0; i < m_waiting.size(); ++i) {
                startWaiting(i);
            }
        }
    }

    void finishWork()
    {
        while (!m_running.empty() && m_running.begin()->first <= m_cluster.now()) {
            const Work &work = m_running.begin()->second;
            m_cluster.ledger(work.instance).release(work.permit, m_cluster.now());
            m_running.erase(m_running.begin());
        }
    }

    void arrive(std::size_t customer)
    {
        const double mean =
            Load * m_limit * 2 * static_cast<double>(StepTime.count()) / static_cast<double>(MostRunTime.count());
        const int n = std::poisson_distribution<int>(mean)(m_random);
        for (int i = 0; i < n; ++i) {
            std::size_t instance = drawBelow(m_random, InstanceCount);
            if (m_arrivals == Arrivals::OneInstanceMoving) {
                const auto period = static_cast<std::size_t>(m_cluster.now().time_since_epoch() / MoveEvery);
                instance = (customer + period) % InstanceCount;
            }
            ++m_waiting[customer * InstanceCount + instance];
            ++m_tasks;
        }
    }

    void startWaiting(std::size_t index)
    {
        std::uint32_t &waiting = m_waiting[index];
        const std::size_t instance = index % InstanceCount;
        const ResourceName customer = customerName(index / InstanceCount);
        PermitLedger &ledger = m_cluster.ledger(instance);
        while (waiting > 0) {
            const std::optional<Permit> permit = ledger.tryAcquire(customer, m_cluster.now());
            if (!permit) {
                break;
            }
            --waiting;
            const Duration run(drawBelow(m_random, static_cast<std::uint64_t>(MostRunTime.count())));
            m_running.emplace(m_cluster.now() + run, Work { instance, *permit });
        }
        m_waited += waiting * StepTime;
        ledger.setWaiting(customer, waiting);
    }

    LedgerCluster m_cluster;
    RandomSource m_random { 1 };
    std::size_t m_customers;
    std::uint32_t m_limit;
    Arrivals m_arrivals;
    std::vector<std::uint32_t> m_waiting; ///< Tasks without a permit, by customer, then instance.
    std::multimap<Instant, Work> m_running;
    std::uint64_t m_tasks = 0;
    Duration m_waited {}; ///< Of all tasks together.
};

} // namespace

bool benchmarkTraffic()
{
    struct Row
    {
        std::size_t customers;
        std::uint32_t limit;
        Arrivals arrivals;
        const char *name;
    };
    const Row rows[] = {
        { 3, 100, Arrivals::EvenOverInstances, "even" },
        { 3, 100, Arrivals::OneInstanceMoving, "one, moving" },
        { 150, 20, Arrivals::EvenOverInstances, "even" },
        { 150, 20, Arrivals::OneInstanceMoving, "one, moving" },
    };
    std::printf("Control traffic sent by the busiest node, %.0f%% load (target %.0f bytes/s, loans)\n",
                Load * 100,
                BytesTarget);
    std::printf("%9s %6s %-12s %11s %9s %8s %14s %12s\n",
                "customers",
                "limit",
                "arrivals",
                "messages/s",
                "bytes/s",
                "wait ms",
                "owner bytes/s",
                "fixed shares");
    bool isGood = true;
    for (const Row &row : rows) {
        const TrafficFigures figures = Workload(row.customers, row.limit, row.arrivals).run();
        std::printf("%9zu %6u %-12s %11.1f %9.0f %8.1f %14.0f %12d\n",
                    row.customers,
                    row.limit,
                    row.name,
                    figures.messages,
                    figures.bytes,
                    figures.waitMs,
                    figures.ownerBytes,
                    0);
        isGood = isGood && figures.bytes <= BytesTarget;
    }
    std::printf("%s\n\n", isGood ? "within the target" : "MISSED THE TARGET");
    return isGood;
}

} // namespace Eelgrasscleat
