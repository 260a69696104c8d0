/// @file
/// Slopes of an entry instance's control: processor time, memory and bytes against customers, targets, peers, tasks
/// and claims; then what they give at today's size and at the size to design for, beside the budget. docs/CAPACITY.md
/// explains the table.
#include "CoreDriver.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>

using namespace Eelgrasscleat;

/// Budget of one node for control.
static constexpr double BudgetCorePercent = 3.5;
static constexpr double BudgetMegabytes = 32;
static constexpr double BudgetBytesPerSecond = 3000;

/// An idle process beside its decisions, as test/test_control_budget.py measures it: libraries, threads, timers,
/// counters.
static constexpr double ProcessMegabytes = 27;
static constexpr double ProcessCorePercent = 1.5;

/// Reads of the platform that an instance makes a second (configuration, claims, incarnations, list), and the bytes of
/// one on the wire: request and answer with their headers, as counted on loopback.
static constexpr double ReadsPerSecond = 4.5;
static constexpr double BytesPerRead = 420;

/// Simulated time over which an idle instance is measured.
static constexpr Duration IdleTime = std::chrono::seconds(60);

/// Changes of the configuration a day, and the size of one as a record.
static constexpr double ChangesPerDay = 10000;
static constexpr double BytesPerChange = 260;
static constexpr double SecondsPerDay = 86400;

static double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

static double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Cost of an idle instance of one size.
struct IdleCost
{
    double corePercent = 0;
    double peerBytesPerSecond = 0;
    double heap = 0;
};

static IdleCost measureIdle(const DeploymentSize &size)
{
    const double heapBefore = heapBytes();
    CoreDriver driver(size);
    IdleCost cost;
    cost.heap = heapBytes() - heapBefore;
    const auto bytesBefore = driver.bytes().toPeers;
    const double before = cpuSeconds();
    driver.run(IdleTime);
    const double seconds = std::chrono::duration<double>(IdleTime).count();
    cost.corePercent = 100 * (cpuSeconds() - before) / seconds;
    cost.peerBytesPerSecond = static_cast<double>(driver.bytes().toPeers - bytesBefore) / seconds;
    return cost;
}

/// Slope of a cost between two sizes that differ in one thing.
static double slope(double low, double high, double difference)
{
    return (high - low) / difference;
}

static double measureHeapPer(std::size_t count, const std::function<void()> &work)
{
    const double before = heapBytes();
    work();
    return (heapBytes() - before) / static_cast<double>(count);
}

/// All slopes.
struct Slopes
{
    IdleCost base;
    double cpuPerCustomer = 0;
    double cpuPerTarget = 0;
    double cpuPerPeer = 0;
    double heapPerCustomer = 0;
    double heapPerTarget = 0;
    double heapPerPeer = 0;
    double heapPerQueuedTask = 0;
    double heapPerKeptAnswer = 0;
    double heapPerClaim = 0;
    double bytesPerPeer = 0;
    double microsecondsPerTask = 0;
};

static constexpr DeploymentSize BaseSize { 3, 50, 8 };

static void measureStructure(Slopes &slopes)
{
    // The first run pays for what is made once in a process; it would hide the slopes.
    measureIdle(BaseSize);
    slopes.base = measureIdle(BaseSize);
    const auto customers = measureIdle({ 153, BaseSize.targets, BaseSize.peers });
    const auto targets = measureIdle({ BaseSize.customers, 600, BaseSize.peers });
    const auto peers = measureIdle({ BaseSize.customers, BaseSize.targets, 41 });
    slopes.cpuPerCustomer = slope(slopes.base.corePercent, customers.corePercent, 150);
    slopes.cpuPerTarget = slope(slopes.base.corePercent, targets.corePercent, 550);
    slopes.cpuPerPeer = slope(slopes.base.corePercent, peers.corePercent, 33);
    slopes.heapPerCustomer = slope(slopes.base.heap, customers.heap, 150);
    slopes.heapPerTarget = slope(slopes.base.heap, targets.heap, 550);
    slopes.heapPerPeer = slope(slopes.base.heap, peers.heap, 33);
    slopes.bytesPerPeer = slope(slopes.base.peerBytesPerSecond, peers.peerBytesPerSecond, 33);
}

static void measureWork(Slopes &slopes)
{
    constexpr std::size_t tasks = 100000;
    constexpr int tasksPerJob = 50;
    constexpr std::size_t jobs = tasks / tasksPerJob;
    CoreDriver driver(BaseSize);
    driver.runTasks(tasks / 10, tasksPerJob);
    const double before = cpuSeconds();
    slopes.heapPerKeptAnswer = measureHeapPer(jobs, [&] { driver.runTasks(tasks, tasksPerJob); });
    slopes.microsecondsPerTask = 1e6 * (cpuSeconds() - before) / static_cast<double>(tasks);
    slopes.heapPerClaim = measureHeapPer(tasks, [&] { driver.readClaims(tasks); });
    slopes.heapPerQueuedTask = measureHeapPer(tasks, [&] { driver.queueTasks(tasks, tasksPerJob); });
}

static void printSlopes(const Slopes &slopes)
{
    std::printf("slopes of one entry instance\n");
    std::printf("  idle decisions at 3 customers, 50 targets, 8 peers  %8.3f %% of a core\n", slopes.base.corePercent);
    std::printf("  each customer   %9.5f %% of a core  %9.0f bytes\n", slopes.cpuPerCustomer, slopes.heapPerCustomer);
    std::printf("  each target     %9.5f %% of a core  %9.0f bytes\n", slopes.cpuPerTarget, slopes.heapPerTarget);
    std::printf("  each peer       %9.5f %% of a core  %9.0f bytes  %6.1f B/s sent\n",
                slopes.cpuPerPeer,
                slopes.heapPerPeer,
                slopes.bytesPerPeer);
    std::printf("  each task through the decisions  %6.2f us of processor time\n", slopes.microsecondsPerTask);
    std::printf("  each queued task                 %6.0f bytes\n", slopes.heapPerQueuedTask);
    std::printf("  each kept answer of 50 tasks     %6.0f bytes\n", slopes.heapPerKeptAnswer);
    std::printf("  each remembered claim            %6.0f bytes\n", slopes.heapPerClaim);
}

/// A deployment to work the slopes out for.
struct Projection
{
    const char *name;
    double customers;
    double targetsInZone;
    double peers;
};

/// Prints one projection. @returns whether it keeps the budget.
static bool printProjection(const Projection &size, const Slopes &slopes)
{
    const double customers = size.customers - static_cast<double>(BaseSize.customers);
    const double targets = size.targetsInZone - static_cast<double>(BaseSize.targets);
    const double peers = size.peers - static_cast<double>(BaseSize.peers);
    const double core = ProcessCorePercent + slopes.base.corePercent + customers * slopes.cpuPerCustomer
        + targets * slopes.cpuPerTarget + peers * slopes.cpuPerPeer;
    const double heap = slopes.base.heap + customers * slopes.heapPerCustomer + targets * slopes.heapPerTarget
        + peers * slopes.heapPerPeer;
    const double megabytes = ProcessMegabytes + heap / 1e6;
    const double log = ReadsPerSecond * BytesPerRead + ChangesPerDay / SecondsPerDay * BytesPerChange;
    const double bytes = size.peers * slopes.bytesPerPeer + log;
    const bool kept = core <= BudgetCorePercent && megabytes <= BudgetMegabytes && bytes <= BudgetBytesPerSecond;
    std::printf("  %-28s %6.2f %% core (%.1f)  %6.1f MB (%.0f)  %6.0f B/s sent (%.0f)  %s\n",
                size.name,
                core,
                BudgetCorePercent,
                megabytes,
                BudgetMegabytes,
                bytes,
                BudgetBytesPerSecond,
                kept ? "ok" : "OVER");
    return kept;
}

int main()
{
    Slopes slopes;
    measureStructure(slopes);
    measureWork(slopes);
    printSlopes(slopes);
    std::printf("\ncontrol of one entry instance, against the budget in brackets\n");
    bool kept = printProjection({ "today: 3, 50, 8", 3, 50, 8 }, slopes);
    kept = printProjection({ "to design for: 150, 600, 41", 150, 600, 41 }, slopes) && kept;
    printProjection({ "twice that: 300, 1200, 83", 300, 1200, 83 }, slopes);
    return kept ? 0 : 1;
}
