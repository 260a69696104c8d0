/// @file
/// Faults, message delivery and invariants of the simulated configuration.
#include "ConfigSimulation.h"

#include <algorithm>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration StepLength = milliseconds(100);
constexpr int FaultySteps = 350;
constexpr int HealedSteps = 150;
constexpr Duration HeartbeatInterval = seconds(1);
constexpr Duration Retention = seconds(30);
constexpr Duration AnswerTimeout = seconds(3);
/// The log is out of everybody's reach no longer than this. An outage that outlasts the retention, together with the
/// replacement of all instances, loses the configuration: then nobody holds it.
constexpr Duration LongestOutage = seconds(12);
/// An accepted change is in force everywhere within this time.
constexpr Duration InForceWithin = seconds(11);

} // namespace

struct ConfigSimulation::Instance
{
    Instance(PeerId peer, std::size_t zoneIndex, const ConfigFollowerSettings &times, Instant now)
        : id(std::move(peer))
        , zone(zoneIndex)
        , startedAt(now)
        , follower(times, now)
    {
    }

    void learn(std::uint64_t offset, Instant now)
    {
        known.emplace_back(offset, now);
    }

    PeerId id;
    std::size_t zone;
    Instant startedAt;
    ConfigFollower follower;
    std::uint64_t lastOffset = 0;
    std::uint64_t lastVersion = 0;
    bool wasReady = false;
    bool hadSource = false; ///< A page or a ready peer's heartbeat has arrived.
    std::vector<std::pair<std::uint64_t, Instant>> known; ///< Offsets that were heard of, and when.
};

struct ConfigSimulation::Operator
{
    Operator(const schema::ConfigChange &change, const PublisherLimits &limits, Instant now)
        : id(change.change_id())
        , publisher(change, limits, now)
    {
    }

    std::string id;
    ChangePublisher publisher;
    bool isChecked = false;
};

ConfigSimulation::ConfigSimulation(std::uint64_t seed)
    : m_seed(seed)
    , m_random(seed)
{
    m_times.snapshotInterval = seconds(5);
    m_times.snapshotJitter = seconds(2);
    m_times.snapshotRecords = 10;
    m_times.peerCatchUpThreshold = 20;
    m_states.push_back(m_reference.snapshot().SerializeAsString());
    for (auto &row : m_pathSince) {
        row.fill(m_now);
    }
    m_instances.resize(InstanceCount);
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        replace(i);
    }
}

ConfigSimulation::~ConfigSimulation() = default;

bool ConfigSimulation::draw(std::uint64_t perThousand)
{
    return drawBelow(m_random, 1000) < perThousand;
}

void ConfigSimulation::note(const std::string &event)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    m_schedule.push_back(std::to_string(ms) + " ms: " + event);
}

void ConfigSimulation::fail(const std::string &what)
{
    if (!m_failure.empty()) {
        return;
    }
    m_failure = "seed " + std::to_string(m_seed) + ": " + what;
    note(what);
    for (const std::string &event : m_schedule) {
        m_failure += "\n  " + event;
    }
}

void ConfigSimulation::later(Duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

/// Delivers to the instance unless it was replaced meanwhile.
void ConfigSimulation::toInstance(std::size_t index, Duration delay, std::function<void(Instance &)> event)
{
    const PeerId id = m_instances[index]->id;
    later(delay, [this, index, id, event = std::move(event)] {
        if (m_instances[index]->id == id) {
            event(*m_instances[index]);
        }
    });
}

std::string ConfigSimulation::run()
{
    for (int i = 0; i < FaultySteps && m_failure.empty(); ++i) {
        drawFaults();
        step();
    }
    heal();
    for (int i = 0; i < HealedSteps && m_failure.empty(); ++i) {
        step();
    }
    checkEnd();
    return m_failure;
}

void ConfigSimulation::drawFaults()
{
    if (draw(m_platformUp ? 8 : 20)) {
        m_platformUp = !m_platformUp;
        note(m_platformUp ? "platform up" : "platform down");
    }
    const std::size_t a = drawBelow(m_random, ZoneCount);
    const std::size_t b = drawBelow(m_random, ZoneCount);
    if (draw(10)) {
        m_zoneCutFromPlatform.at(a) = !m_zoneCutFromPlatform.at(a);
        note("path of zone " + std::to_string(a) + " to the platform toggled");
    }
    if (a != b && draw(10)) {
        m_zonesCut.at(a).at(b) = m_zonesCut.at(b).at(a) = !m_zonesCut.at(a).at(b);
        note("path of zones " + std::to_string(a) + " and " + std::to_string(b) + " toggled");
    }
    if (m_now - m_platformReachedAt > LongestOutage) {
        m_platformUp = true;
        m_zoneCutFromPlatform.at(a) = false;
        note("platform up, path of zone " + std::to_string(a) + " to it restored");
    }
    if (draw(20)) {
        replace(drawBelow(m_random, InstanceCount));
    }
    if (draw(3)) {
        for (std::size_t i = a; i < InstanceCount; i += ZoneCount) {
            replace(i);
        }
    }
    if (draw(2)) {
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            replace(i);
        }
    }
    if (draw(80)) {
        startOperator();
    }
}

void ConfigSimulation::heal()
{
    m_faults = false;
    m_platformUp = true;
    m_zoneCutFromPlatform = {};
    m_zonesCut = {};
    note("all healed");
}

void ConfigSimulation::replace(std::size_t index)
{
    const PeerId id {
        .name = InstanceName("entry-" + std::to_string(index)),
        .incarnation = IncarnationId(m_nextIncarnation++),
    };
    m_instances[index] = std::make_unique<Instance>(id, index % ZoneCount, m_times, m_now);
    note("new " + id.name.value);
}

void ConfigSimulation::startOperator()
{
    const std::uint64_t version = m_reference.version();
    const std::string customer = "customer-" + std::to_string(drawBelow(m_random, 4));
    const std::uint64_t base = version - std::min<std::uint64_t>(version, drawBelow(m_random, 3));
    const std::string id = "change-" + std::to_string(m_nextChange++);
    schema::ConfigChange change = makeEmptyChange(id, base);
    if (draw(200)) {
        change.add_operations()->set_remove_contract(customer);
    } else {
        const auto limit = static_cast<std::uint32_t>(1 + drawBelow(m_random, 1000));
        *change.add_operations()->mutable_put_contract() = makeContract(customer, limit);
        if (draw(200)) {
            *change.add_operations()->mutable_put_contract() = makeContract("customer-all", limit);
        }
    }
    PublisherLimits limits;
    limits.deadline = seconds(10);
    m_operators.push_back(std::make_unique<Operator>(change, limits, m_now));
    note("publish " + id + " on " + std::to_string(base));
}

void ConfigSimulation::step()
{
    m_now += StepLength;
    trackPaths();
    m_log.expire(m_now - Retention);
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        stepInstance(i);
        checkInstance(i);
        checkInForce(i);
    }
    for (const auto &op : m_operators) {
        stepOperator(*op);
    }
}

void ConfigSimulation::stepInstance(std::size_t index)
{
    Instance &instance = *m_instances[index];
    perform(index, instance.follower.tick(m_now, m_random));
    const Duration age = m_now - instance.startedAt;
    if (age % HeartbeatInterval == Duration::zero()) {
        sendHeartbeats(index);
    }
}

void ConfigSimulation::sendHeartbeats(std::size_t index)
{
    const Instance &sender = *m_instances[index];
    schema::Heartbeat heartbeat;
    sender.follower.fillHeartbeat(heartbeat, m_now);
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        if (i == index || !connected(sender.zone, m_instances[i]->zone)) {
            continue;
        }
        toInstance(i, StepLength, [this, i, heartbeat, from = sender.id](Instance &receiver) {
            receiver.learn(heartbeat.config_next_offset(), m_now);
            receiver.hadSource = receiver.hadSource || heartbeat.config_next_offset() > 0;
            perform(i, receiver.follower.heartbeatReceived(from, heartbeat, m_now));
        });
    }
}

void ConfigSimulation::perform(std::size_t index, const std::vector<ConfigAction> &actions)
{
    const PeerId self = m_instances[index]->id;
    const auto indexOf = [this](const PeerId &peer) -> std::optional<std::size_t> {
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            if (m_instances[i]->id == peer) {
                return i;
            }
        }
        return std::nullopt;
    };
    const auto canReach = [this, index](std::optional<std::size_t> to) {
        return to && connected(m_instances[index]->zone, m_instances[*to]->zone) && !(m_faults && draw(50));
    };
    for (const ConfigAction &action : actions) {
        if (const auto *read = std::get_if<ReadConfig>(&action)) {
            readFor(index, read->from);
        } else if (const auto *ask = std::get_if<RequestTail>(&action); ask && canReach(indexOf(ask->peer))) {
            const std::size_t to = *indexOf(ask->peer);
            toInstance(to, StepLength, [this, to, self, request = ask->request](Instance &receiver) {
                perform(to, receiver.follower.tailRequested(self, request));
            });
        } else if (const auto *send = std::get_if<SendTail>(&action); send && canReach(indexOf(send->peer))) {
            const std::size_t to = *indexOf(send->peer);
            toInstance(to, StepLength, [this, to, self, tail = send->tail](Instance &receiver) {
                perform(to, receiver.follower.tailReceived(self, tail, m_now));
            });
        } else if (const auto *snapshot = std::get_if<AppendSnapshot>(&action)) {
            const bool isLost = !reachesPlatform(m_instances[index]->zone) || (m_faults && draw(200));
            if (!isLost) {
                later(StepLength, [this, record = snapshot->record] { append(record); });
            }
        }
    }
}

void ConfigSimulation::readFor(std::size_t index, std::uint64_t from)
{
    const bool fails = !reachesPlatform(m_instances[index]->zone) || (m_faults && draw(50));
    if (fails) {
        const Duration delay = draw(500) ? AnswerTimeout : StepLength;
        toInstance(index, delay, [this](Instance &receiver) { receiver.follower.readFailed(m_now, m_random); });
        return;
    }
    // The page is what the log has now; a slow answer is a lagging read.
    const Duration delay = StepLength * (1 + (m_faults && draw(100) ? drawBelow(m_random, 10) : 0));
    toInstance(index, delay, [this, index, page = m_log.page(from, 8)](Instance &receiver) {
        receiver.learn(page.next(), m_now);
        receiver.hadSource = true;
        perform(index, receiver.follower.pageReceived(page, m_now));
    });
}

void ConfigSimulation::append(const schema::ConfigRecord &record)
{
    const std::uint64_t offset = m_log.append(record.SerializeAsString(), m_now);
    if (!isOk(m_reference.apply(offset, record))) {
        fail("the reference refused a record");
    }
    if (record.has_change()) {
        m_model.apply(record.change());
    }
    if (m_model.version != m_reference.version()) {
        fail("a change was judged unlike the model");
    }
    m_states.push_back(m_reference.snapshot().SerializeAsString());
    m_appendedAt.push_back(m_now);
}

void ConfigSimulation::stepOperator(Operator &op)
{
    for (const PublishAction &action : op.publisher.step(m_now)) {
        if (const auto *publish = std::get_if<PublishAppend>(&action)) {
            appendFor(op, publish->record);
            continue;
        }
        const bool fails = !m_platformUp || (m_faults && draw(50));
        later(StepLength, [this, &op, fails, page = m_log.page(std::get<PublishRead>(action).from, 8)] {
            fails ? op.publisher.readFailed(m_now) : op.publisher.pageReceived(page, m_now);
        });
    }
    checkOutcome(op);
}

/// An append may take effect never, once, late or twice, and its answer may be lost.
void ConfigSimulation::appendFor(Operator &op, const schema::ConfigRecord &record)
{
    const std::uint64_t kind = m_faults ? drawBelow(m_random, 10) : 9;
    const bool isWritten = m_platformUp && kind != 0;
    const bool isAnswered = isWritten && kind > 3;
    if (isWritten) {
        const Duration delay = kind == 1 ? Duration(seconds(2)) : StepLength;
        later(delay, [this, record] { append(record); });
        if (kind == 2 || kind == 4) {
            later(delay + StepLength, [this, record] { append(record); });
        }
    }
    later(isAnswered ? StepLength * 2 : AnswerTimeout / 2, [this, &op, isAnswered] {
        isAnswered ? op.publisher.appendSucceeded(m_now) : op.publisher.appendFailed(m_now);
    });
}

bool ConfigSimulation::reachesPlatform(std::size_t zone) const
{
    return m_platformUp && !m_zoneCutFromPlatform.at(zone);
}

bool ConfigSimulation::connected(std::size_t a, std::size_t b) const
{
    return !m_zonesCut.at(a).at(b);
}

void ConfigSimulation::trackPaths()
{
    for (std::size_t zone = 0; zone < ZoneCount; ++zone) {
        if (reachesPlatform(zone)) {
            m_platformReachedAt = m_now;
        }
        for (std::size_t via = 0; via < ZoneCount; ++via) {
            if (!connected(zone, via) || !reachesPlatform(via)) {
                m_pathSince.at(zone).at(via) = m_now;
            }
        }
    }
}

void ConfigSimulation::checkInstance(std::size_t index)
{
    Instance &instance = *m_instances[index];
    const ConfigState &state = instance.follower.state();
    const bool isReady = instance.follower.isReady(m_now);
    if (state.version() < instance.lastVersion || state.nextOffset() < instance.lastOffset) {
        fail(instance.id.name.value + " went back");
    }
    if (state.nextOffset() >= m_states.size()) {
        fail(instance.id.name.value + " is ahead of the log");
        return;
    }
    if (state.nextOffset() != instance.lastOffset
        && state.snapshot().SerializeAsString() != m_states[state.nextOffset()]) {
        fail(instance.id.name.value + " differs from the log's state at " + std::to_string(state.nextOffset()));
    }
    if (isReady && !instance.hadSource) {
        fail(instance.id.name.value + " is ready without having heard of a configuration");
    }
    // What is learnt in the very step in which an instance became ready may have come after it.
    const Duration grace = instance.wasReady ? m_times.maxStaleness : StepLength;
    for (const auto &[offset, since] : instance.known) {
        if (isReady && state.nextOffset() < offset && m_now - since >= grace) {
            fail(instance.id.name.value + " serves below the version that it knows of");
        }
    }
    std::erase_if(instance.known, [&state](const auto &entry) { return entry.first <= state.nextOffset(); });
    instance.lastOffset = state.nextOffset();
    instance.lastVersion = state.version();
    instance.wasReady = instance.wasReady || isReady;
}

void ConfigSimulation::checkInForce(std::size_t index)
{
    const Instance &instance = *m_instances[index];
    const Instant windowStart = m_now - InForceWithin;
    if (instance.startedAt > windowStart) {
        return;
    }
    bool hasPath = false;
    for (std::size_t via = 0; via < ZoneCount; ++via) {
        const bool hasHelper = std::any_of(m_instances.begin(), m_instances.end(), [&](const auto &other) {
            return other->zone == via && other->startedAt <= windowStart;
        });
        hasPath = hasPath || (hasHelper && m_pathSince.at(instance.zone).at(via) <= windowStart);
    }
    const std::uint64_t lacking = instance.follower.state().nextOffset();
    if (hasPath && lacking < m_appendedAt.size() && m_appendedAt[lacking] <= windowStart) {
        fail(instance.id.name.value + " lacks a record after 11 s: " + std::to_string(lacking));
    }
}

void ConfigSimulation::checkOutcome(const Operator &op)
{
    const auto &outcome = op.publisher.outcome();
    if (!outcome || outcome->status == PublishStatus::Unknown) {
        return;
    }
    const auto it = m_model.verdicts.find(op.id);
    if (it == m_model.verdicts.end()) {
        fail(op.id + " has an outcome and is not in the log");
        return;
    }
    const ChangeModel::Verdict &verdict = it->second;
    const bool agrees = (outcome->status == PublishStatus::Accepted
                         && verdict.verdict == schema::CHANGE_VERDICT_ACCEPTED && outcome->version == verdict.version)
        || (outcome->status == PublishStatus::Conflict && verdict.verdict == schema::CHANGE_VERDICT_CONFLICT
            && outcome->winner == verdict.winner)
        || (outcome->status == PublishStatus::Invalid && verdict.verdict == schema::CHANGE_VERDICT_INVALID);
    if (!agrees) {
        fail(op.id + " was told " + std::string(publishStatusName(outcome->status)));
    }
}

void ConfigSimulation::checkEnd()
{
    if (!m_failure.empty()) {
        return;
    }
    for (const auto &instance : m_instances) {
        if (!instance->follower.isReady(m_now)) {
            fail(instance->id.name.value + " is not ready 15 s after all healed");
        }
        for (const auto &[customer, limit] : m_model.limits) {
            const schema::Contract *contract = instance->follower.state().contract(CustomerName(customer));
            if (contract == nullptr || contract->in_flight_limit() != limit) {
                fail(instance->id.name.value + " lost an accepted change of " + customer);
            }
        }
    }
}

} // namespace Eelgrasscleat
