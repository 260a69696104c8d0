/// @file
/// How much of a limit one instance can use, with fixed shares, with loans, and with one owner for each customer and
/// zone; after two seconds, in a zone that is cut off, and after a death.
#include "Benchmarks.h"
#include "LedgerCluster.h"

#include <cstdio>

namespace Eelgrasscleat
{

/// Target: part of the limit that one instance can use after MeasureAfter.
static constexpr double UsableTarget = 0.9;
static constexpr Duration MeasureAfter = std::chrono::seconds(2);
static constexpr Duration RunTime = std::chrono::milliseconds(200); ///< Of the tasks that keep an instance busy.
static constexpr Duration LongestWatch = std::chrono::seconds(30);

/// A fenced successor's wait: the old holder's stop, its loans, the work started under them.
static constexpr Duration HolderStops = std::chrono::seconds(2);
static constexpr Duration SuccessorWait =
    HolderStops + BenchmarkTimes.duration + LongestRun + BenchmarkTimes.clockDriftMargin;

namespace
{

/// What one way makes of a limit, as parts of it.
struct WayFigures
{
    const char *name;
    double cold = 0; ///< Usable by one instance, all others idle.
    double moved = 0; ///< The same after all arrivals moved there from another busy instance.
    double cut = 0; ///< Usable by one instance of a zone that is cut off.
    double outAfterDeath = 0; ///< Out of use after the death of the instance that held most.
    double outSeconds = 0; ///< Until all but the dead instance's own share is usable again.
};

} // namespace

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Keeps @p instance as busy as it can be for @p time: permits are taken, and each is given back after RunTime.
static void keepBusy(LedgerCluster &cluster, std::size_t instance, std::uint32_t limit, Duration time)
{
    const ResourceName customer = customerName(0);
    std::multimap<Instant, Permit> running;
    const Instant end = cluster.now() + time;
    PermitLedger &ledger = cluster.ledger(instance);
    ledger.setWaiting(customer, limit);
    while (cluster.now() < end || !running.empty()) {
        cluster.advance(std::chrono::milliseconds(10));
        while (!running.empty() && running.begin()->first <= cluster.now()) {
            ledger.release(running.begin()->second, cluster.now());
            running.erase(running.begin());
        }
        if (cluster.now() >= end) {
            ledger.setWaiting(customer, 0);
            continue;
        }
        while (const std::optional<Permit> permit = ledger.tryAcquire(customer, cluster.now())) {
            running.emplace(cluster.now() + RunTime, *permit);
        }
    }
}

static double usablePart(const LedgerCluster &cluster, std::size_t instance, std::uint32_t limit)
{
    return static_cast<double>(cluster.usable(instance, customerName(0))) / limit;
}

static WayFigures measureLoans(std::uint32_t limit)
{
    const ResourceName customer = customerName(0);
    WayFigures figures { .name = "loans" };

    LedgerCluster cold(1, limit);
    cold.ledger(8).setWaiting(customer, limit);
    cold.advance(MeasureAfter);
    figures.cold = usablePart(cold, 8, limit);

    LedgerCluster moved(1, limit);
    keepBusy(moved, 0, limit, std::chrono::seconds(10));
    moved.ledger(8).setWaiting(customer, limit);
    moved.advance(MeasureAfter);
    figures.moved = usablePart(moved, 8, limit);

    LedgerCluster cut(1, limit);
    cut.cutZone(2);
    cut.ledger(8).setWaiting(customer, limit);
    cut.advance(MeasureAfter);
    figures.cut = usablePart(cut, 8, limit);

    LedgerCluster death(1, limit);
    death.ledger(0).setWaiting(customer, limit);
    death.advance(std::chrono::seconds(10));
    const std::uint32_t deadShare = benchmarkLayout().baseShare(customer, limit, InstanceName("entry-0"));
    figures.outAfterDeath = usablePart(death, 0, limit);
    death.kill(0);
    const Instant killedAt = death.now();
    death.ledger(8).setWaiting(customer, limit);
    while (death.usable(8, customer) < limit - deadShare && death.now() < killedAt + LongestWatch) {
        death.advance(TickTime);
    }
    figures.outSeconds = seconds(death.now() - killedAt);
    return figures;
}

static WayFigures fixedShares(std::uint32_t limit)
{
    const double share =
        static_cast<double>(benchmarkLayout().baseShare(customerName(0), limit, InstanceName("entry-8"))) / limit;
    return { "fixed shares", share, share, share, share, seconds(SuccessorWait) };
}

static WayFigures zoneOwners(std::uint32_t limit)
{
    std::uint32_t zone = 0;
    for (const ConfiguredInstance &holder : benchmarkLayout().instances()) {
        zone +=
            holder.zone == ZoneName("zone-2") ? benchmarkLayout().baseShare(customerName(0), limit, holder.name) : 0;
    }
    const double share = static_cast<double>(zone) / limit;
    // A new owner can't know what the old one had granted; it waits until all of that has ended.
    return { "owner per zone", share, share, share, share, seconds(SuccessorWait) };
}

bool benchmarkUsableLimit()
{
    std::printf("Usable by one instance of 9, after %.0f s (target %.0f%% of the limit, loans)\n",
                seconds(MeasureAfter),
                UsableTarget * 100);
    std::printf(
        "%6s %-15s %8s %8s %9s %12s %10s\n", "limit", "way", "cold", "moved", "cut zone", "out: death", "for s");
    bool isGood = true;
    for (const std::uint32_t limit : { 100U, 5U, 3U }) {
        const WayFigures loans = measureLoans(limit);
        for (const WayFigures &way : { fixedShares(limit), loans, zoneOwners(limit) }) {
            std::printf("%6u %-15s %7.1f%% %7.1f%% %8.1f%% %11.1f%% %10.2f\n",
                        limit,
                        way.name,
                        way.cold * 100,
                        way.moved * 100,
                        way.cut * 100,
                        way.outAfterDeath * 100,
                        way.outSeconds);
        }
        isGood = isGood && loans.cold >= UsableTarget && loans.moved >= UsableTarget;
    }
    std::printf("(fixed shares and owners follow from their definition; the death is that of the instance that holds "
                "most)\n%s\n\n",
                isGood ? "within the target" : "MISSED THE TARGET");
    return isGood;
}

} // namespace Eelgrasscleat
