/// @file
/// Measures the configuration: time until a change is in force on the last instance, bytes a second a node, and the
/// start of an instance. Exits with 1 if a figure is over its bound.
#include "Fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace Eelgrasscleat
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// The aim for an accepted change with all paths up.
constexpr double InForceAimMs = 2000;
/// An accepted change is in force everywhere within this time, also over a detour.
constexpr double InForceLimitMs = 11000;
/// Control traffic of a node: 3 KB a second.
constexpr double NodeBytesPerSecond = 3000;
/// Changes of one day.
constexpr int DailyChanges = 10000;
/// A start from a peer's snapshot takes at most this part of the messages of a start from all records.
constexpr double SnapshotMessageShare = 0.5;
/// Reads a second and instance, of both streams, that the platform sees at most when all instances start at once.
constexpr double StartReadsPerSecond = 20;

bool check(const char *what, double value, double bound, const char *unit)
{
    const bool isGood = value <= bound;
    std::printf("%-58s %10.1f %-8s bound %10.1f  %s\n", what, value, unit, bound, isGood ? "ok" : "OVER");
    return isGood;
}

/// Measures the time from the append of a change to its application on the last instance.
bool measureInForce(const char *name, const FleetSetup &setup, PlatformState platform, double boundMs)
{
    constexpr Duration interval = milliseconds(100);
    Fleet fleet(setup);
    fleet.setPlatform(platform);
    for (int i = 0; i < 500; ++i) {
        fleet.step();
    }
    std::vector<Instant> appendedAt(fleet.logEnd());
    std::vector<double> times;
    std::uint64_t applied = fleet.logEnd();
    Instant nextChange = fleet.now();
    int published = 0;
    while (published < DailyChanges || applied < fleet.logEnd()) {
        if (published < DailyChanges && fleet.now() >= nextChange) {
            fleet.publish();
            ++published;
            nextChange += interval;
        }
        fleet.step();
        appendedAt.resize(fleet.logEnd(), fleet.now());
        for (const std::uint64_t lowest = fleet.lowestOffset(); applied < lowest; ++applied) {
            const auto time = std::chrono::duration<double, std::milli>(fleet.now() - appendedAt[applied]);
            times.push_back(time.count());
        }
    }
    std::sort(times.begin(), times.end());
    std::printf("%-58s p50 %.0f ms, p99 %.0f ms\n", name, times[times.size() / 2], times[times.size() * 99 / 100]);
    return check("  longest", times.back(), boundMs, "ms");
}

/// @returns bytes a second and node over @p length with a day's rate of changes.
double measureBytes(std::size_t instances, std::size_t zones, Duration length)
{
    constexpr Duration interval = Duration(std::chrono::hours(24)) / DailyChanges;
    FleetSetup setup;
    setup.instances = instances;
    setup.zones = zones;
    Fleet fleet(setup);
    for (int i = 0; i < 700; ++i) {
        fleet.publish();
    }
    for (int i = 0; i < 500; ++i) {
        fleet.step();
    }
    const FleetCounts before = fleet.counts();
    const Instant start = fleet.now();
    Instant nextChange = start;
    while (fleet.now() < start + length) {
        if (fleet.now() >= nextChange) {
            fleet.publish();
            nextChange += interval;
        }
        fleet.step();
    }
    const FleetCounts &after = fleet.counts();
    const double nodeSeconds = static_cast<double>(instances) * std::chrono::duration<double>(length).count();
    const double peer = static_cast<double>(after.peerBytes - before.peerBytes) / nodeSeconds;
    const double platform = static_cast<double>(after.platformBytes - before.platformBytes) / nodeSeconds;
    std::printf("%zu instances: peers %.0f B/s, platform %.0f B/s, %llu snapshots\n",
                instances,
                peer,
                platform,
                static_cast<unsigned long long>(after.snapshots - before.snapshots));
    return peer + platform;
}

/// Starts one instance from the log alone and one with a peer's snapshot.
bool measureStart()
{
    Fleet fleet({});
    for (int i = 0; i < DailyChanges; ++i) {
        fleet.publish();
    }
    const Instant now = fleet.now();
    RandomSource random(1);
    const PeerId peer { .name = InstanceName("peer"), .incarnation = IncarnationId(1) };

    ConfigFollower fromLog({}, now);
    int logMessages = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (Instant at = now; fromLog.state().nextOffset() < fleet.logEnd(); at += milliseconds(10)) {
        for (const ConfigAction &action : fromLog.tick(at, random)) {
            fromLog.pageReceived(fleet.page(std::get<ReadConfig>(action).from), at);
            logMessages += 2;
        }
    }
    const std::chrono::duration<double> replayTime = std::chrono::steady_clock::now() - begin;
    const Instant later = now + seconds(10);
    fromLog.tick(later, random);

    ConfigFollower fromPeer({}, now);
    schema::Heartbeat heartbeat;
    fromLog.fillHeartbeat(heartbeat, later);
    int peerMessages = 0;
    const auto asks = fromPeer.heartbeatReceived(peer, heartbeat, now);
    const auto peerBegin = std::chrono::steady_clock::now();
    std::size_t snapshotBytes = 0;
    for (const ConfigAction &ask : asks) {
        for (const ConfigAction &send : fromLog.tailRequested(peer, std::get<RequestTail>(ask).request)) {
            snapshotBytes = std::get<SendTail>(send).tail.ByteSizeLong();
            fromPeer.tailReceived(peer, std::get<SendTail>(send).tail, now);
            peerMessages += 2;
        }
    }
    for (const ConfigAction &action : fromPeer.tick(now, random)) {
        fromPeer.pageReceived(fleet.page(std::get<ReadConfig>(action).from), now);
        peerMessages += 2;
    }
    const std::chrono::duration<double> peerTime = std::chrono::steady_clock::now() - peerBegin;
    const bool isSame =
        fromPeer.state().snapshot().SerializeAsString() == fromLog.state().snapshot().SerializeAsString();
    std::printf("start from 10,000 records: %d messages, %.0f ms, %.0f records/s; from a peer: %d messages, %.1f ms, "
                "%zu B snapshot, ready %s, same state %s\n",
                logMessages,
                replayTime.count() * 1e3,
                DailyChanges / replayTime.count(),
                peerMessages,
                peerTime.count() * 1e3,
                snapshotBytes,
                fromPeer.isReady(now) ? "yes" : "no",
                isSame ? "yes" : "no");
    const double share = static_cast<double>(peerMessages) / logMessages;
    return check("  messages from a peer, as part of those from all records", share, SnapshotMessageShare, "") && isSame
        && fromPeer.isReady(now);
}

/// One case of a recovery.
struct Recovery
{
    const char *name;
    std::vector<std::size_t> replaced;
    PlatformState platform;
};

/// Runs until @p length has passed. @returns when the last instance became ready.
Instant runUntilReady(Fleet &fleet, Duration length)
{
    const Instant end = fleet.now() + length;
    Instant ready = fleet.now();
    while (fleet.now() < end) {
        fleet.step();
        ready = fleet.readyCount() < FleetSetup().instances ? fleet.now() : ready;
    }
    return ready;
}

bool printRecovery(const char *name, const FleetCounts &before, const FleetCounts &after, Duration time, Duration most)
{
    const bool isReady = time < most;
    const auto reads = static_cast<unsigned long long>(after.configReads - before.configReads);
    const auto messages = static_cast<unsigned long long>(after.peerMessages - before.peerMessages);
    const double timeMs = std::chrono::duration<double, std::milli>(time).count();
    std::printf("%-40s ", name);
    if (isReady) {
        std::printf("ready after %6.0f ms", timeMs);
    } else {
        std::printf("not ready             ");
    }
    std::printf(", %4llu reads of config, %3llu messages of peers in 11 s\n", reads, messages);
    return isReady;
}

/// Replaces instances with 10,000 records in the log. All of them are ready within 11 s if anybody that they reach
/// knows the configuration, and not before the platform is back if nobody does.
bool measureRecovery(const Recovery &recovery, bool isPossible)
{
    constexpr Duration length = seconds(11);
    Fleet fleet({});
    for (int i = 0; i < DailyChanges; ++i) {
        fleet.publish();
    }
    runUntilReady(fleet, seconds(10));
    fleet.setPlatform(recovery.platform);
    runUntilReady(fleet, seconds(10));
    fleet.restart(recovery.replaced);
    const Instant start = fleet.now();
    const FleetCounts before = fleet.counts();
    const Duration time = runUntilReady(fleet, length) - start;
    const bool isReady = printRecovery(recovery.name, before, fleet.counts(), time, length);
    if (isPossible || isReady) {
        return isReady == isPossible;
    }
    fleet.setPlatform(PlatformState::Up);
    const FleetCounts atReturn = fleet.counts();
    const Instant back = fleet.now();
    const Duration sinceReturn = runUntilReady(fleet, length) - back;
    return printRecovery("  platform back", atReturn, fleet.counts(), sinceReturn, length);
}

bool measureRecoveries()
{
    const std::vector<std::size_t> one { 0 };
    const std::vector<std::size_t> zone { 0, 3, 6 };
    const std::vector<std::size_t> all { 0, 1, 2, 3, 4, 5, 6, 7, 8 };
    const std::vector<Recovery> possible {
        { "one replaced, platform up", one, PlatformState::Up },
        { "one replaced, platform slow", one, PlatformState::Slow },
        { "one replaced, platform down", one, PlatformState::Down },
        { "a zone replaced, platform up", zone, PlatformState::Up },
        { "a zone replaced, platform slow", zone, PlatformState::Slow },
        { "a zone replaced, platform down", zone, PlatformState::Down },
        { "all replaced, platform up", all, PlatformState::Up },
    };
    bool isGood = true;
    for (const Recovery &recovery : possible) {
        isGood = measureRecovery(recovery, true) && isGood;
    }
    return measureRecovery({ "all replaced, platform down", all, PlatformState::Down }, false) && isGood;
}

/// Replaces all instances at once and counts the reads that the platform sees.
bool measureStampede()
{
    Fleet fleet({});
    for (int i = 0; i < DailyChanges; ++i) {
        fleet.publish();
    }
    std::uint64_t peakReads = 0;
    for (int second = 0; second < 10; ++second) {
        const std::uint64_t before = fleet.counts().reads;
        for (int i = 0; i < 100; ++i) {
            fleet.step();
        }
        peakReads = std::max(peakReads, fleet.counts().reads - before);
    }
    const double perInstance = static_cast<double>(peakReads) / static_cast<double>(FleetSetup().instances);
    return check("all start: most reads a second and instance", perInstance, StartReadsPerSecond, "1/s");
}

/// Operators change 150 targets from bases that are up to nine changes old, and conflicts are counted for the rule
/// by subject and for a rule that compares the whole version.
bool measureConflicts()
{
    constexpr std::uint64_t targetCount = 150;
    constexpr std::uint64_t operatorCount = 10;
    RandomSource random(1);
    ConfigState state;
    int accepted = 0;
    int acceptedByVersion = 0;
    for (int i = 0; i < DailyChanges; ++i) {
        const std::uint64_t lag = std::min(state.version(), drawBelow(random, operatorCount));
        schema::ConfigRecord record;
        schema::ConfigChange &change = *record.mutable_change();
        change.set_change_id("change-" + std::to_string(i));
        change.set_base_version(state.version() - lag);
        change.set_author("operator");
        change.set_reason("race");
        schema::Target &target = *change.add_operations()->mutable_put_target();
        target.set_name("target-" + std::to_string(drawBelow(random, targetCount)));
        target.set_zone("regina");
        target.set_service("engrave-desk");
        target.set_address("127.0.0.1");
        target.set_port(1);
        target.set_slots(8);
        target.set_connections(60);
        target.set_state(schema::TARGET_STATE_ACTIVE);
        const auto result = state.apply(state.nextOffset(), record);
        const bool isAccepted = isOk(result) && std::get<0>(result)->verdict() == schema::CHANGE_VERDICT_ACCEPTED;
        accepted += isAccepted ? 1 : 0;
        acceptedByVersion += lag == 0 ? 1 : 0;
    }
    std::printf("10 operators racing over 150 targets: %.1f%% accepted by subject, %.1f%% by whole version\n",
                accepted * 100.0 / DailyChanges,
                acceptedByVersion * 100.0 / DailyChanges);
    return accepted > acceptedByVersion;
}

int run()
{
    const FleetSetup normal;
    FleetSetup cut;
    cut.zoneCutFromPlatform = true;
    bool isGood = measureInForce("9 instances, 10,000 changes, 10 a second", normal, PlatformState::Up, InForceAimMs);
    isGood = measureInForce("  one zone cut off from the platform", cut, PlatformState::Up, InForceLimitMs) && isGood;
    isGood = measureInForce("  every answer of the platform takes 2.5 s", normal, PlatformState::Slow, InForceLimitMs)
        && isGood;
    isGood = check("bytes a second and node, 9 instances", measureBytes(9, 3, minutes(12)), NodeBytesPerSecond, "B/s")
        && isGood;
    std::printf("bytes a second and node, 42 instances in 14 zones (no bound): %.0f B/s\n",
                measureBytes(42, 14, minutes(2)));
    isGood = measureStart() && isGood;
    isGood = measureConflicts() && isGood;
    isGood = measureRecoveries() && isGood;
    isGood = measureStampede() && isGood;
    return isGood ? 0 : 1;
}

} // namespace

} // namespace Eelgrasscleat

int main()
{
    return Eelgrasscleat::run();
}
