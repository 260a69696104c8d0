/// @file
/// Faults, delivery and the invariant: no two processes use a name's share at once.
#include "NameSimulation.h"

#include <algorithm>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration StepLength = milliseconds(100);
constexpr Duration HeartbeatInterval = seconds(1);
const NameHolderTimes Times {
    .confirmationTimeout = seconds(3),
    .freezeThreshold = seconds(2),
    .successionMargin = seconds(3),
    .maxRunTime = seconds(1),
};

} // namespace

struct NameSimulation::Process
{
    Process(PeerId peer, std::size_t index, Instant now)
        : id(std::move(peer))
        , name(index)
        , startedAt(now)
        , lastRunAt(now)
        , holder(id, Times)
        , peers(id, seconds(3))
        , exchange(holder, peers)
        , registration(ZoneName("zone-" + std::to_string(zone())), {}, holder, peers)
    {
    }

    [[nodiscard]] std::size_t zone() const
    {
        return name % ZoneCount;
    }

    PeerId id;
    std::size_t name;
    Instant startedAt;
    Instant lastRunAt;
    bool isAlive = true;
    Instant frozenUntil;
    std::vector<std::function<void()>> waiting; ///< What arrived while it was frozen, in order.
    NameHolder holder;
    PeerTracker peers;
    HeartbeatExchange exchange;
    Registration registration;
    NameState state = NameState::Unregistered;
    Instant busyUntil; ///< End of the work that it started under the share.
    bool isLeaving = false;
    bool wasReplacedFrozen = false; ///< Its successor was in the log when it thawed.
};

NameSimulation::NameSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_seed(seed)
    , m_now(seconds(1000))
{
    for (std::size_t name = 0; name < NameCount; ++name) {
        replace(name, true);
    }
}

NameSimulation::~NameSimulation() = default;

bool NameSimulation::draw(std::uint64_t perThousand)
{
    return drawBelow(m_random, 1000) < perThousand;
}

void NameSimulation::note(const std::string &event)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    m_schedule.push_back(std::to_string(ms) + " ms: " + event);
}

void NameSimulation::later(Duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void NameSimulation::deliver(Process &process, Duration delay, std::function<void()> event)
{
    later(delay, [this, &process, event = std::move(event)] {
        if (process.isAlive && m_now < process.frozenUntil) {
            process.waiting.push_back(event);
        } else if (process.isAlive) {
            event();
        }
    });
}

void NameSimulation::replace(std::size_t name, bool killOld)
{
    if (m_newest.at(name) != nullptr && killOld) {
        m_newest.at(name)->isAlive = false;
    }
    const PeerId id {
        .name = InstanceName("entry-" + std::to_string(name)),
        .incarnation = IncarnationId(m_processes.size() + 1),
    };
    m_processes.push_back(std::make_unique<Process>(id, name, m_now));
    m_newest.at(name) = m_processes.back().get();
    note("new " + id.name.value + "/" + std::to_string(id.incarnation.value) + (killOld ? "" : ", old goes on"));
}

void NameSimulation::freezeNewest(std::size_t name, Duration duration)
{
    m_newest.at(name)->frozenUntil = m_now + duration;
    note("freeze of " + m_newest.at(name)->id.name.value + " for " + std::to_string(duration.count() / 1000) + " ms");
}

void NameSimulation::cutZone(std::size_t zone)
{
    m_zonesCut = true;
    m_cutFromPlatform.at(zone) = true;
    note("cut of zone " + std::to_string(zone));
}

void NameSimulation::leave(std::size_t name)
{
    m_newest.at(name)->isLeaving = true;
    note("leave of " + m_newest.at(name)->id.name.value);
}

NameState NameSimulation::state(std::size_t name) const
{
    return m_newest.at(name)->state;
}

void NameSimulation::drawFaults()
{
    m_losesAppends = true;
    const std::size_t name = drawBelow(m_random, NameCount);
    const std::size_t zone = drawBelow(m_random, ZoneCount);
    if (draw(5)) {
        m_platformUp = !m_platformUp;
        note(m_platformUp ? "platform up" : "platform down");
    }
    if (draw(5)) {
        m_cutFromPlatform.at(zone) = !m_cutFromPlatform.at(zone);
        note("path of zone " + std::to_string(zone) + " to the platform toggled");
    }
    if (draw(5)) {
        m_zonesCut = !m_zonesCut;
        note(m_zonesCut ? "zones cut" : "zones joined");
    }
    if (draw(20)) {
        freezeNewest(name, milliseconds(500 * (1 + drawBelow(m_random, 40))));
    }
    if (draw(20)) {
        replace(name, draw(300));
    }
    if (draw(5)) {
        leave(name);
    }
}

void NameSimulation::heal()
{
    m_losesAppends = false;
    m_platformUp = true;
    m_zonesCut = false;
    m_cutFromPlatform = {};
    for (const auto &process : m_processes) {
        process->isAlive = process->isAlive && process.get() == m_newest.at(process->name);
        process->frozenUntil = m_now;
    }
    for (std::size_t name = 0; name < NameCount; ++name) {
        if (m_newest.at(name)->isLeaving) {
            replace(name, true);
        }
    }
    note("all healed");
}

std::string NameSimulation::step()
{
    m_now += StepLength;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        Process &process = *m_processes[i];
        if (!process.isAlive || m_now < process.frozenUntil) {
            continue;
        }
        runProcess(process);
        std::string failure = check(process);
        if (failure.empty()) {
            // A replaced process ends, and a new one is started in its place.
            if (process.state == NameState::Replaced && &process == m_newest.at(process.name)) {
                replace(process.name, true);
            }
            continue;
        }
        failure = "seed " + std::to_string(m_seed) + ": " + failure;
        for (const std::string &event : m_schedule) {
            failure += "\n  " + event;
        }
        return failure;
    }
    return {};
}

void NameSimulation::runProcess(Process &process)
{
    const bool thaws = m_now - process.lastRunAt > Times.freezeThreshold;
    process.lastRunAt = m_now;
    if (thaws) {
        process.wasReplacedFrozen = process.wasReplacedFrozen || isReplacedInLog(process);
    }
    const auto waiting = std::move(process.waiting);
    process.waiting.clear();
    for (const auto &event : waiting) {
        event();
    }
    process.state = process.holder.step(m_now);
    if (process.state == NameState::Held && !process.isLeaving) {
        process.busyUntil = m_now + Times.maxRunTime;
    }
    if (process.isLeaving && m_now >= process.busyUntil) {
        process.registration.leave();
    }
    for (const RegistrationAction &action : process.registration.tick(m_now, m_random)) {
        if (const auto *reading = std::get_if<ReadIncarnations>(&action)) {
            read(process, reading->from);
        } else {
            append(process, std::get<AppendIncarnation>(action).record);
        }
    }
    if ((m_now - process.startedAt) % HeartbeatInterval == Duration::zero()) {
        sendHeartbeats(process);
    }
}

/// @returns whether another incarnation first joined after this one did.
bool NameSimulation::isReplacedInLog(const Process &process) const
{
    std::vector<std::uint64_t> joined;
    for (const std::string &data : m_log) {
        schema::IncarnationRecord record;
        record.ParseFromString(data);
        const bool isJoin = record.event() == schema::INCARNATION_EVENT_JOINED;
        const bool isRepeated = std::find(joined.begin(), joined.end(), record.incarnation()) != joined.end();
        if (isJoin && !isRepeated && record.instance() == process.id.name.value) {
            joined.push_back(record.incarnation());
        }
    }
    const auto own = std::find(joined.begin(), joined.end(), process.id.incarnation.value);
    return own != joined.end() && own + 1 != joined.end();
}

/// Every process of a name gets what is sent to the name, which is worse than one address for one process.
void NameSimulation::sendHeartbeats(Process &process)
{
    process.exchange.startRound(m_now);
    for (const auto &other : m_processes) {
        const bool isCut = m_zonesCut && other->zone() != process.zone();
        if (!other->isAlive || other->name == process.name || isCut) {
            continue;
        }
        const PeerId to = process.peers.currentPeer(other->id.name).value_or(PeerId { .name = other->id.name });
        schema::Heartbeat heartbeat;
        process.exchange.fill(heartbeat, to, m_now);
        Process &receiver = *other;
        deliver(receiver, StepLength, [this, &receiver, from = process.id, to, heartbeat] {
            receiver.exchange.handleHeartbeat(from, to.incarnation, heartbeat, m_now);
        });
    }
}

/// An append may take effect never, once, late or twice.
void NameSimulation::append(Process &process, const schema::IncarnationRecord &record)
{
    constexpr std::uint64_t writtenOnce = 9;
    const std::uint64_t kind = m_losesAppends ? drawBelow(m_random, 10) : writtenOnce;
    if (!reachesPlatform(process.zone()) || kind == 0) {
        return;
    }
    const Duration delay = kind == 1 ? Duration(seconds(5)) : StepLength;
    const auto write = [this, data = record.SerializeAsString()] { m_log.push_back(data); };
    later(delay, write);
    if (kind == 2) {
        later(delay + seconds(4), write);
    }
}

void NameSimulation::read(Process &process, std::uint64_t from)
{
    if (!reachesPlatform(process.zone())) {
        deliver(process, StepLength, [this, &process] { process.registration.handleReadFailure(m_now, m_random); });
        return;
    }
    schema::RecordPage page;
    page.set_next(m_log.size());
    for (std::uint64_t offset = from; offset < m_log.size(); ++offset) {
        auto *record = page.add_records();
        record->set_offset(offset);
        record->set_data(m_log[offset]);
    }
    deliver(process, StepLength, [this, &process, page] { process.registration.handlePage(page, m_now); });
}

bool NameSimulation::reachesPlatform(std::size_t zone) const
{
    return m_platformUp && !m_cutFromPlatform.at(zone);
}

std::string NameSimulation::check(const Process &process) const
{
    if (process.state != NameState::Held || process.isLeaving) {
        return {};
    }
    const std::string who = process.id.name.value + "/" + std::to_string(process.id.incarnation.value);
    if (process.wasReplacedFrozen) {
        return who + " uses the share after it was frozen and replaced";
    }
    const bool isShared = std::any_of(m_processes.begin(), m_processes.end(), [&](const auto &other) {
        return other.get() != &process && other->name == process.name && other->isAlive && other->busyUntil > m_now;
    });
    return isShared ? who + " uses the share while another's work goes on" : std::string();
}

} // namespace Eelgrasscleat
