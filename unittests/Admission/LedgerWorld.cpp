/// @file
/// Simulated time, network, work and faults around several permit ledgers.
#include "LedgerWorld.h"

#include <algorithm>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static const ResourceName Desk("engrave-desk");
static constexpr Duration StepTime = milliseconds(10);
static constexpr Duration FaultTime = seconds(6);
static constexpr Duration MaxRunTime = milliseconds(600);
static constexpr Duration StopWithin = milliseconds(300); ///< By then a replaced instance has stopped, if not frozen.
static constexpr Duration FreezeGap = milliseconds(100);
static constexpr LoanTiming Timing { .duration = milliseconds(800),
                                     .startMargin = milliseconds(20),
                                     .clockDriftMargin = milliseconds(60) };
/// What a successor waits for, as NameHolder does: the old holder's stop, its loans, the work started under them.
static constexpr Duration SuccessorWait = StopWithin + Timing.duration + MaxRunTime + Timing.clockDriftMargin;

LedgerWorld::LedgerWorld(std::uint64_t seed)
    : m_random(seed)
    , m_limit(1 + static_cast<std::uint32_t>(drawBelow(m_random, 40)))
    , m_names(3 + drawBelow(m_random, 7))
    , m_zones(1 + drawBelow(m_random, 3))
{
    note(std::to_string(m_names) + " instances in " + std::to_string(m_zones) + " zones, limit "
         + std::to_string(m_limit));
    m_instances.resize(m_names);
    for (std::size_t i = 0; i < m_names; ++i) {
        startInstance(i, Duration::zero());
    }
    for (Instance &instance : m_instances) {
        refreshPeers(instance);
    }
}

Duration LedgerWorld::draw(Duration bound)
{
    return Duration(drawBelow(m_random, static_cast<std::uint64_t>(bound.count())));
}

bool LedgerWorld::happens(std::uint64_t oneIn)
{
    return drawBelow(m_random, oneIn) == 0;
}

void LedgerWorld::note(const std::string &line)
{
    m_schedule += std::to_string(m_now.count() / 1000) + " ms: " + line + "\n";
}

void LedgerWorld::startInstance(std::size_t name, Duration baseUsableFrom)
{
    std::vector<ConfiguredInstance> configured;
    for (std::size_t i = 0; i < m_names; ++i) {
        configured.push_back(
            { InstanceName("entry-" + std::to_string(i)), ZoneName("zone-" + std::to_string(i % m_zones)) });
    }
    Instance &instance = m_instances[name];
    instance = Instance();
    instance.id = { configured[name].name, IncarnationId(++m_lastIncarnation) };
    instance.zone = name % m_zones;
    instance.clockOffset = draw(seconds(1000)) + seconds(1);
    instance.clockRate = 1 + (static_cast<double>(drawBelow(m_random, 41)) - 20) / 1000;
    instance.baseUsableFrom = baseUsableFrom;
    instance.ledger = std::make_unique<PermitLedger>(instance.id, ShareLayout(configured), Timing);
    instance.ledger->setLimit(Desk, m_limit, MaxRunTime, clock(instance));
    refreshPeers(instance);
    instance.hasStalePeers = happens(4);
}

Instant LedgerWorld::clock(const Instance &instance) const
{
    const double elapsed = static_cast<double>(m_now.count()) * instance.clockRate;
    return Instant(instance.clockOffset + Duration(static_cast<Duration::rep>(elapsed)));
}

void LedgerWorld::replace(std::size_t index, bool isOldKilled)
{
    if (!isOldKilled) {
        Instance &old = m_instances[index];
        old.isReplaced = true;
        old.stopsBy = m_now + draw(StopWithin);
        m_instances.push_back(std::move(old));
    }
    startInstance(index, m_now + SuccessorWait);
}

void LedgerWorld::drawFault()
{
    const std::size_t index = drawBelow(m_random, m_names);
    switch (drawBelow(m_random, 6)) {
    case 0:
        note("kill and replace " + std::to_string(index));
        replace(index, true);
        break;
    case 1:
        note("replace running " + std::to_string(index));
        replace(index, false);
        break;
    case 2:
    case 3: {
        const Duration length = draw(3 * Timing.duration);
        note("freeze " + std::to_string(index) + " for " + std::to_string(length.count() / 1000) + " ms");
        m_instances[index].frozenUntil = m_now + length;
        if (length > FreezeGap && happens(2)) {
            note("replace frozen " + std::to_string(index));
            replace(index, false);
        }
        break;
    }
    case 4: {
        const std::size_t zone = drawBelow(m_random, m_zones);
        note("cut zone " + std::to_string(zone));
        m_cutZones.insert(zone);
        break;
    }
    default:
        note("heal cuts");
        m_cutZones.clear();
    }
}

void LedgerWorld::moveWork()
{
    const std::uint64_t oneIn = 1 + drawBelow(m_random, 4);
    for (Instance &instance : m_instances) {
        instance.isBusy = happens(oneIn);
    }
}

bool LedgerWorld::isCut(std::size_t zone, std::size_t other) const
{
    return zone != other && (m_cutZones.contains(zone) || m_cutZones.contains(other));
}

void LedgerWorld::send(const Instance &from, std::vector<LedgerMessage> &messages)
{
    for (LedgerMessage &message : messages) {
        const std::uint64_t copies = m_hasFaults ? (happens(8) ? 0 : happens(8) ? 2 : 1) : 1;
        for (std::uint64_t i = 0; i < copies; ++i) {
            const Duration bound = m_hasFaults && happens(10) ? 2 * Timing.duration : milliseconds(30);
            m_network.emplace(m_now + milliseconds(1) + draw(bound), Envelope { from.zone, from.id, message });
        }
    }
    messages.clear();
}

void LedgerWorld::deliver()
{
    while (!m_network.empty() && m_network.begin()->first <= m_now) {
        const Envelope envelope = std::move(m_network.begin()->second);
        m_network.erase(m_network.begin());
        for (Instance &instance : m_instances) {
            if (instance.id != envelope.content.to || isCut(envelope.fromZone, instance.zone)) {
                continue;
            }
            if (m_now < instance.frozenUntil) {
                m_network.emplace(instance.frozenUntil + milliseconds(5), envelope);
                break;
            }
            std::vector<LedgerMessage> answers;
            instance.ledger->receive(envelope.from, envelope.content.message, clock(instance), answers);
            send(instance, answers);
            break;
        }
    }
}

void LedgerWorld::refreshPeers(Instance &instance)
{
    std::vector<PeerId> peers;
    for (std::size_t i = 0; i < m_names; ++i) {
        if (m_instances[i].id.name != instance.id.name && !isCut(m_instances[i].zone, instance.zone)) {
            peers.push_back(m_instances[i].id);
        }
    }
    instance.ledger->setPeers(peers);
}

void LedgerWorld::startWork(Instance &instance)
{
    const Instant now = clock(instance);
    for (const Prepared &prepared : instance.prepared) {
        if (m_now < prepared.writeAt && now < prepared.permit.startBefore) {
            continue;
        }
        if (now >= prepared.permit.startBefore) {
            instance.ledger->release(prepared.permit, now);
            continue;
        }
        // The start takes effect a little later than it is written.
        const Duration startedAt = m_now + draw(Timing.startMargin / 2);
        const Duration length = happens(2) ? MaxRunTime : draw(MaxRunTime);
        m_running.push_back({ prepared.permit, startedAt, startedAt + length, instance.id.incarnation });
    }
    std::erase_if(instance.prepared, [&](const Prepared &prepared) {
        return m_now >= prepared.writeAt || now >= prepared.permit.startBefore;
    });
    instance.ledger->setWaiting(Desk, instance.isBusy ? m_limit : 0);
    while (instance.isBusy && (!m_hasFaults || !happens(20))) {
        const std::optional<Permit> permit = instance.ledger->tryAcquire(Desk, now);
        if (!permit) {
            break;
        }
        const Duration delay = m_hasFaults && happens(20) ? draw(Timing.duration) : Duration::zero();
        instance.prepared.push_back({ *permit, m_now + delay });
    }
}

void LedgerWorld::stepInstance(Instance &instance)
{
    // NameHolder's contract, kept at each step before anything else.
    const bool isStopped =
        instance.isReplaced && (m_now >= instance.stopsBy || instance.frozenUntil > Duration::zero());
    instance.ledger->setBaseShareUsable(m_now >= instance.baseUsableFrom && !isStopped, clock(instance));
    if (!m_hasFaults || (!instance.hasStalePeers && happens(10))) {
        refreshPeers(instance);
    }
    std::vector<LedgerMessage> messages;
    if (m_now.count() % Duration(milliseconds(50)).count() == 0) {
        instance.ledger->tick(clock(instance), messages);
    }
    send(instance, messages);
    startWork(instance);
}

void LedgerWorld::endWork()
{
    for (Running &work : m_running) {
        const auto holder = std::find_if(m_instances.begin(), m_instances.end(), [&work](const Instance &instance) {
            return instance.id.incarnation == work.holder;
        });
        if (holder == m_instances.end() || work.isNoticed || m_now < holder->frozenUntil) {
            continue;
        }
        const Instant now = clock(*holder);
        if (m_now >= work.endsAt) {
            holder->ledger->release(work.permit, now);
            work.isNoticed = true;
        } else if (m_hasFaults && m_now > work.startedAt && happens(100)) {
            // The answer is lost: the holder gives the permit back by time. It knows a time after the start.
            holder->ledger->releaseAfterMaxRunTime(work.permit, now, now);
            work.isNoticed = true;
        }
    }
    std::erase_if(m_running, [&](const Running &work) {
        const bool hasHolder = std::any_of(m_instances.begin(), m_instances.end(), [&work](const Instance &instance) {
            return instance.id.incarnation == work.holder;
        });
        return m_now >= work.endsAt && (work.isNoticed || !hasHolder);
    });
}

void LedgerWorld::step()
{
    m_now += StepTime;
    // An instance that was frozen steps, and so learns what it missed, before it takes any message.
    for (Instance &instance : m_instances) {
        if (m_now >= instance.frozenUntil) {
            stepInstance(instance);
        }
    }
    deliver();
    endWork();
    countWork();
}

void LedgerWorld::countWork()
{
    std::uint32_t running = 0;
    for (const Running &work : m_running) {
        running += m_now < work.endsAt ? 1 : 0;
    }
    std::uint32_t possible = running;
    for (const Instance &instance : m_instances) {
        const Instant now = clock(instance);
        for (const Prepared &prepared : instance.prepared) {
            possible += now < prepared.permit.startBefore ? 1 : 0;
        }
        // An instance that is frozen learns what it missed before it can take more.
        possible += m_now < instance.frozenUntil ? 0 : instance.ledger->free(Desk, now);
    }
    m_mostRunning = std::max(m_mostRunning, running);
    m_mostPossible = std::max(m_mostPossible, possible);
}

bool LedgerWorld::runFaults()
{
    while (m_now < FaultTime) {
        if (happens(80)) {
            drawFault();
        }
        if (happens(60)) {
            moveWork();
        }
        step();
        if (m_mostPossible > m_limit) {
            note("running or startable: " + std::to_string(m_mostPossible));
            return false;
        }
    }
    return true;
}

std::uint32_t LedgerWorld::usableAfterHealing()
{
    m_hasFaults = false;
    m_cutZones.clear();
    m_instances.resize(m_names);
    for (Instance &instance : m_instances) {
        instance.isBusy = false;
    }
    const Duration healedAt = m_now;
    while (m_now < healedAt + SuccessorWait + 2 * Timing.duration) {
        step();
    }
    Instance &busy = m_instances[drawBelow(m_random, m_names)];
    busy.isBusy = true;
    const Duration busyFrom = m_now;
    while (m_now < busyFrom + seconds(2)) {
        step();
    }
    return busy.ledger->inUse(Desk) + busy.ledger->free(Desk, clock(busy));
}

} // namespace Eelgrasscleat
