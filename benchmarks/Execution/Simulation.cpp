/// @file
/// Event loop, network, log, callers and faults.
#include "Simulation.h"

#include <algorithm>

namespace Eelgrasscleat
{

static constexpr Duration PollInterval = std::chrono::milliseconds(500);
static constexpr Duration CallerPatience = std::chrono::milliseconds(1000);
static constexpr Duration BreakTime = std::chrono::milliseconds(10); ///< Until a broken stream is noticed.
static constexpr Duration RestartTime = std::chrono::milliseconds(1000);
static constexpr Duration RackInterval = std::chrono::milliseconds(2000);
static constexpr Duration CutInterval = std::chrono::milliseconds(7000);
static constexpr Duration CutLength = std::chrono::milliseconds(1500);
static constexpr Duration OutageInterval = std::chrono::milliseconds(11000);
static constexpr Duration OutageLength = std::chrono::milliseconds(2500);
static constexpr Duration DrainTime = std::chrono::seconds(8);
static constexpr int MaxTries = 4;
static constexpr std::size_t TicketsPerZone = 32;

Simulation::Simulation(const Scenario &scenario, std::uint64_t seed)
    : m_scenario(scenario)
    , m_random(seed)
    , m_stop(m_now + scenario.length)
    , m_tickets(scenario.zones)
    , m_nextAppend(m_now)
    , m_zoneCut(scenario.zones, false)
{
    for (std::size_t zone = 0; zone < scenario.zones; ++zone) {
        for (std::size_t i = 0; i < scenario.instancesPerZone; ++i) {
            m_instances.push_back({ zone, IncarnationId(++m_lastIncarnation), true });
            m_tickets[zone].push_back(m_instances.back().incarnation);
        }
    }
    m_zoneCut[0] = scenario.cutFromZones;
}

RunFigures Simulation::run(StartOnceWay &way)
{
    m_way = &way;
    for (std::size_t at = 0; at < m_instances.size(); ++at) {
        way.restarted(at);
        way.platformChanged(at);
        poll(at);
    }
    arrive();
    if (m_scenario.randomFaults) {
        scheduleFaults();
    }
    const Instant end = m_stop + DrainTime;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.action();
    }
    return figures();
}

ClockReading Simulation::clock() const
{
    return { m_now, WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())) };
}

void Simulation::after(Duration delay, std::function<void()> action)
{
    m_queue.push({ m_now + delay, ++m_events, std::move(action) });
}

void Simulation::afterAt(std::size_t at, Duration delay, std::function<void()> action)
{
    const IncarnationId incarnation = m_instances[at].incarnation;
    after(delay, [this, at, incarnation, action = std::move(action)] {
        if (m_instances[at].alive && m_instances[at].incarnation == incarnation) {
            action();
        }
    });
}

bool Simulation::areCut(std::size_t first, std::size_t second) const
{
    const std::size_t a = m_instances[first].zone;
    const std::size_t b = m_instances[second].zone;
    return a != b && (m_zoneCut[a] || m_zoneCut[b]);
}

void Simulation::send(std::size_t from,
                      std::size_t to,
                      std::size_t controlBytes,
                      std::function<void()> arrived,
                      std::function<void()> lost)
{
    const Duration hop = m_instances[from].zone == m_instances[to].zone ? InZoneHop : CrossZoneHop;
    const IncarnationId addressee = m_instances[to].incarnation;
    if (areCut(from, to) || !m_instances[to].alive) {
        afterAt(from, BreakTime, std::move(lost));
        return;
    }
    const IncarnationId sender = m_instances[from].incarnation;
    after(hop, [this, from, to, sender, addressee, controlBytes, arrived = std::move(arrived), lost = std::move(lost)] {
        if (m_instances[to].alive && m_instances[to].incarnation == addressee && !areCut(from, to)) {
            m_controlBytes += controlBytes;
            arrived();
        } else if (m_instances[from].alive && m_instances[from].incarnation == sender) {
            afterAt(from, BreakTime, lost);
        }
    });
}

bool Simulation::reachesPlatform(std::size_t at) const
{
    return !m_platformDown && !(m_scenario.cutFromPlatform && m_instances[at].zone == 0);
}

void Simulation::append(std::size_t at, const ClaimRecord &record, std::function<void(bool)> done)
{
    if (!reachesPlatform(at)) {
        afterAt(at, BreakTime, [done = std::move(done)] { done(false); });
        return;
    }
    m_nextAppend = std::max(m_nextAppend, m_now) + AppendSpacing;
    ++m_appends;
    const Duration delay = m_nextAppend - m_now + AppendTime;
    after(delay, [this, record] { m_log.push_back(record); });
    afterAt(at, delay, [this, at, done = std::move(done)] {
        done(true);
        afterAt(at, ReadTime, [this, at] { m_way->readLog(at, m_log.size()); });
    });
}

void Simulation::started(std::size_t caller, std::size_t at)
{
    ++m_callers[caller].starts;
    m_executors[caller] = at;
}

void Simulation::answered(std::size_t number, std::size_t at, CallerEnd end, bool retry)
{
    SimulatedCaller &caller = m_callers[number];
    if (caller.end != CallerEnd::Unanswered) {
        return;
    }
    std::vector<IncarnationId> &tickets = m_tickets[m_instances[at].zone];
    if (tickets.size() == TicketsPerZone) {
        tickets.erase(tickets.begin());
    }
    tickets.push_back(m_instances[at].incarnation);
    if (retry && caller.tries < MaxTries) {
        return; // The caller's patience ends soon, and it asks again.
    }
    caller.end = end;
    caller.added = m_now - caller.arrival - ServiceTime;
}

void Simulation::arrive()
{
    if (m_now >= m_stop) {
        return;
    }
    SimulatedCaller caller;
    caller.zone = drawBelow(m_random, m_scenario.zones);
    caller.arrival = m_now;
    caller.ticketHome = m_tickets[caller.zone][drawBelow(m_random, m_tickets[caller.zone].size())];
    caller.ticketDraw = std::uniform_real_distribution<>(0, 1)(m_random);
    m_callers.push_back(caller);
    m_executors.push_back(m_instances.size());
    request(m_callers.size() - 1);
    const double gap = std::exponential_distribution<>(m_scenario.submissionsPerSecond)(m_random);
    after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this] { arrive(); });
}

void Simulation::request(std::size_t number)
{
    SimulatedCaller &caller = m_callers[number];
    if (caller.end != CallerEnd::Unanswered || caller.tries == MaxTries) {
        return;
    }
    ++caller.tries;
    const std::size_t at = drawInstance(caller.zone);
    if (at < m_instances.size()) {
        m_way->submit(number, at);
    }
    after(CallerPatience, [this, number] { request(number); });
}

std::size_t Simulation::drawInstance(std::size_t zone)
{
    std::vector<std::size_t> alive;
    for (std::size_t at = 0; at < m_instances.size(); ++at) {
        if (m_instances[at].alive && m_instances[at].zone == zone) {
            alive.push_back(at);
        }
    }
    return alive.empty() ? m_instances.size() : alive[drawBelow(m_random, alive.size())];
}

void Simulation::scheduleFaults()
{
    for (Duration at = RackInterval; at < m_scenario.length; at += RackInterval) {
        after(at, [this] { killRack(); });
    }
    for (Duration at = CutInterval; at < m_scenario.length; at += CutInterval) {
        const std::size_t zone = drawBelow(m_random, m_scenario.zones);
        after(at, [this, zone] { m_zoneCut[zone] = true; });
        after(at + CutLength, [this, zone] { m_zoneCut[zone] = false; });
    }
    for (Duration at = OutageInterval; at < m_scenario.length; at += OutageInterval) {
        after(at, [this] { setPlatformDown(true); });
        after(at + OutageLength, [this] { setPlatformDown(false); });
    }
}

void Simulation::killRack()
{
    // Two instances of one zone share the rack.
    const std::size_t first = drawBelow(m_random, m_instances.size());
    std::size_t second = first;
    for (std::size_t at = 0; at < m_instances.size(); ++at) {
        if (at != first && m_instances[at].zone == m_instances[first].zone) {
            second = at;
        }
    }
    for (const std::size_t at : { first, second }) {
        if (!m_instances[at].alive) {
            continue;
        }
        m_instances[at].alive = false;
        for (std::size_t number = 0; number < m_callers.size(); ++number) {
            SimulatedCaller &caller = m_callers[number];
            caller.homeDied |= m_executors[number] == at && caller.end == CallerEnd::Unanswered;
        }
        after(RestartTime, [this, at] { restart(at); });
    }
}

void Simulation::restart(std::size_t at)
{
    m_instances[at].incarnation = IncarnationId(++m_lastIncarnation);
    m_instances[at].alive = true;
    m_way->restarted(at);
    m_way->platformChanged(at);
    poll(at);
}

void Simulation::setPlatformDown(bool down)
{
    m_platformDown = down;
    for (std::size_t at = 0; at < m_instances.size(); ++at) {
        if (m_instances[at].alive) {
            m_way->platformChanged(at);
        }
    }
}

void Simulation::poll(std::size_t at)
{
    if (reachesPlatform(at)) {
        m_way->readLog(at, m_log.size());
    }
    afterAt(at, PollInterval, [this, at] { poll(at); });
}

static double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

static double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

RunFigures Simulation::figures() const
{
    RunFigures figures;
    figures.submissions = m_callers.size();
    std::vector<Duration> added;
    std::uint64_t inZone = 0;
    std::uint64_t served = 0;
    std::uint64_t died = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unknownOfDied = 0;
    for (const SimulatedCaller &caller : m_callers) {
        figures.doubleStarts += caller.starts > 1 ? 1 : 0;
        const bool isComplete = caller.end == CallerEnd::Complete;
        if (isComplete) {
            added.push_back(caller.added);
        }
        inZone += caller.zone == 0 ? 1 : 0;
        served += caller.zone == 0 && isComplete ? 1 : 0;
        died += caller.homeDied ? 1 : 0;
        const bool isUnknown = !isComplete && caller.end != CallerEnd::NotRun;
        unknown += isUnknown ? 1 : 0;
        unknownOfDied += isUnknown && caller.homeDied ? 1 : 0;
    }
    std::sort(added.begin(), added.end());
    if (!added.empty()) {
        figures.addedP50Ms = milliseconds(added[added.size() / 2]);
        figures.addedP99Ms = milliseconds(added[added.size() * 99 / 100]);
    }
    const double seconds = milliseconds(m_scenario.length) / 1000;
    figures.appendsPerSecond = static_cast<double>(m_appends) / seconds;
    figures.controlBytesPerNode =
        static_cast<double>(m_controlBytes) / seconds / static_cast<double>(m_instances.size());
    figures.zoneServedShare = share(served, inZone);
    figures.unknownShareOfDied = share(unknownOfDied, died);
    figures.unknownShareOfAll = share(unknown, m_callers.size());
    return figures;
}

} // namespace Eelgrasscleat
