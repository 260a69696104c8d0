/// @file
/// Simulated network and log of the configuration's benchmark.
#include "Fleet.h"

#include <algorithm>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Duration StepLength = milliseconds(10);
constexpr Duration HeartbeatInterval = seconds(1);
/// Time of one read of the platform, there and back.
constexpr Duration QuickAnswer = milliseconds(10);
constexpr Duration SlowAnswer = milliseconds(2500);
constexpr std::uint64_t CustomerCount = 150;
constexpr std::size_t PageRecords = 500;
/// Headers of one request of QNetworkAccessManager and of its answer.
constexpr std::uint64_t HttpHeaderBytes = 300;
/// JSON names, quotes and the offset of one record in a page.
constexpr std::uint64_t RecordJsonBytes = 32;
/// Frame header of one message between instances.
constexpr std::uint64_t FrameBytes = 9;

const NameHolderTimes HolderTimes {
    .confirmationTimeout = seconds(3),
    .freezeThreshold = seconds(2),
    .successionMargin = seconds(3),
    .maxRunTime = seconds(5),
};

std::uint64_t jsonBytes(const schema::RecordPage &page)
{
    std::uint64_t bytes = HttpHeaderBytes;
    for (const schema::RecordPage::Record &record : page.records()) {
        bytes += RecordJsonBytes + (record.data().size() + 2) / 3 * 4;
    }
    return bytes;
}

schema::RecordPage pageOf(const std::vector<std::string> &stream, std::uint64_t from)
{
    schema::RecordPage page;
    page.set_next(stream.size());
    const std::size_t end = std::min(stream.size(), from + PageRecords);
    for (std::size_t offset = from; offset < end; ++offset) {
        schema::RecordPage::Record *record = page.add_records();
        record->set_offset(offset);
        record->set_data(stream[offset]);
    }
    return page;
}

} // namespace

struct Fleet::Member
{
    Member(PeerId peer, std::size_t zoneIndex, Instant now)
        : id(std::move(peer))
        , zone(zoneIndex)
        , startedAt(now)
        , follower({}, now)
        , holder(id, HolderTimes)
        , peers(id, seconds(3))
        , exchange(holder, peers)
        , registration(ZoneName("zone-" + std::to_string(zone)), {}, holder, peers)
    {
    }

    PeerId id;
    std::size_t zone;
    Instant startedAt;
    ConfigFollower follower;
    NameHolder holder;
    PeerTracker peers;
    HeartbeatExchange exchange;
    Registration registration;
};

Fleet::Fleet(const FleetSetup &setup)
    : m_setup(setup)
    , m_members(setup.instances)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        start(i);
    }
}

Fleet::~Fleet() = default;

void Fleet::start(std::size_t index)
{
    const PeerId id {
        .name = InstanceName("entry-" + std::to_string(index)),
        .incarnation = IncarnationId(m_random()),
    };
    m_members[index] = std::make_unique<Member>(id, index % m_setup.zones, m_now);
}

void Fleet::restart(const std::vector<std::size_t> &indexes)
{
    for (const std::size_t index : indexes) {
        start(index);
    }
}

void Fleet::setPlatform(PlatformState state)
{
    m_platform = state;
}

void Fleet::publish()
{
    schema::ConfigRecord record;
    schema::ConfigChange &change = *record.mutable_change();
    change.set_change_id("0123456789abcdef-" + std::to_string(m_version));
    change.set_base_version(m_version);
    change.set_author("operator@example.org");
    change.set_reason("limit raised for the season");
    change.set_at_ms(1764800000000);
    schema::Contract &contract = *change.add_operations()->mutable_put_contract();
    contract.set_customer("customer-" + std::to_string(m_version % CustomerCount));
    contract.set_service("engrave-desk");
    contract.set_key_sha256(std::string(32, 'k'));
    contract.set_in_flight_limit(static_cast<std::uint32_t>(1 + m_version));
    contract.set_urgency(schema::URGENCY_URGENT);
    contract.set_max_run_ms(5000);
    contract.set_max_queued(1000);
    ++m_version;
    m_config.push_back(record.SerializeAsString());
}

void Fleet::later(Duration delay, std::size_t index, std::function<void(Member &)> event)
{
    const PeerId id = m_members[index]->id;
    m_events.emplace(m_now + delay, [this, index, id, event = std::move(event)] {
        if (m_members[index]->id == id) {
            event(*m_members[index]);
        }
    });
}

void Fleet::step()
{
    m_now += StepLength;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        stepMember(i);
    }
}

void Fleet::stepMember(std::size_t index)
{
    Member &member = *m_members[index];
    member.holder.step(m_now);
    perform(index, member.follower.tick(m_now, m_random));
    for (const RegistrationAction &action : member.registration.tick(m_now, m_random)) {
        if (const auto *reading = std::get_if<ReadIncarnations>(&action)) {
            read(index, false, reading->from);
        } else if (m_platform != PlatformState::Down) {
            m_incarnations.push_back(std::get<AppendIncarnation>(action).record.SerializeAsString());
        }
    }
    // The instances' heartbeats are spread over the interval.
    const Duration phase = HeartbeatInterval * index / m_members.size() / StepLength * StepLength;
    if ((m_now - member.startedAt + phase) % HeartbeatInterval == Duration::zero()) {
        sendHeartbeats(index);
    }
}

void Fleet::perform(std::size_t index, const std::vector<ConfigAction> &actions)
{
    const PeerId self = m_members[index]->id;
    for (const ConfigAction &action : actions) {
        if (const auto *reading = std::get_if<ReadConfig>(&action)) {
            read(index, true, reading->from);
        } else if (const auto *ask = std::get_if<RequestTail>(&action)) {
            schema::PeerMessage message;
            *message.mutable_config_request() = ask->request;
            countMessage(message);
            ++m_counts.peerMessages;
            const std::size_t to = indexOf(ask->peer);
            later(m_setup.peerLatency, to, [this, to, self, request = ask->request](Member &member) {
                perform(to, member.follower.tailRequested(self, request));
            });
        } else if (const auto *send = std::get_if<SendTail>(&action)) {
            schema::PeerMessage message;
            *message.mutable_config_tail() = send->tail;
            countMessage(message);
            ++m_counts.peerMessages;
            const std::size_t to = indexOf(send->peer);
            later(m_setup.peerLatency, to, [this, to, self, tail = send->tail](Member &member) {
                perform(to, member.follower.tailReceived(self, tail, m_now));
            });
        } else if (const auto *snapshot = std::get_if<AppendSnapshot>(&action)) {
            if (m_platform == PlatformState::Down) {
                continue;
            }
            m_config.push_back(snapshot->record.SerializeAsString());
            m_counts.platformBytes += HttpHeaderBytes + m_config.back().size();
            ++m_counts.snapshots;
        }
    }
}

void Fleet::read(std::size_t index, bool isConfig, std::uint64_t from)
{
    const bool isCut = m_setup.zoneCutFromPlatform && m_members[index]->zone == 0;
    const Duration latency = m_platform == PlatformState::Slow ? SlowAnswer : QuickAnswer;
    ++m_counts.reads;
    m_counts.configReads += isConfig ? 1 : 0;
    if (isCut || m_platform == PlatformState::Down) {
        later(latency, index, [this, isConfig](Member &member) {
            isConfig ? member.follower.readFailed(m_now, m_random)
                     : member.registration.handleReadFailure(m_now, m_random);
        });
        return;
    }
    const schema::RecordPage page = pageOf(isConfig ? m_config : m_incarnations, from);
    m_counts.platformBytes += jsonBytes(page);
    later(latency, index, [this, index, isConfig, page](Member &member) {
        if (isConfig) {
            perform(index, member.follower.pageReceived(page, m_now));
        } else {
            member.registration.handlePage(page, m_now);
        }
    });
}

void Fleet::sendHeartbeats(std::size_t index)
{
    Member &sender = *m_members[index];
    sender.exchange.startRound(m_now);
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        if (i == index) {
            continue;
        }
        const InstanceName name("entry-" + std::to_string(i));
        const PeerId to = sender.peers.currentPeer(name).value_or(PeerId { .name = name, .incarnation = {} });
        schema::PeerMessage message;
        message.set_from_instance(sender.id.name.value);
        message.set_from_incarnation(sender.id.incarnation.value);
        message.set_to_incarnation(to.incarnation.value);
        sender.follower.fillHeartbeat(*message.mutable_heartbeat(), m_now);
        sender.exchange.fill(*message.mutable_heartbeat(), to, m_now);
        countMessage(message);
        later(m_setup.peerLatency, i, [this, i, from = sender.id, to, message](Member &member) {
            member.exchange.handleHeartbeat(from, to.incarnation, message.heartbeat(), m_now);
            perform(i, member.follower.heartbeatReceived(from, message.heartbeat(), m_now));
        });
    }
}

void Fleet::countMessage(const schema::PeerMessage &message)
{
    m_counts.peerBytes += 2 * (FrameBytes + message.ByteSizeLong());
}

std::size_t Fleet::indexOf(const PeerId &peer) const
{
    const auto it = std::find_if(
        m_members.begin(), m_members.end(), [&peer](const auto &member) { return member->id.name == peer.name; });
    return static_cast<std::size_t>(it - m_members.begin());
}

Instant Fleet::now() const
{
    return m_now;
}

std::uint64_t Fleet::lowestOffset() const
{
    std::uint64_t lowest = m_config.size();
    for (const auto &member : m_members) {
        lowest = std::min(lowest, member->follower.state().nextOffset());
    }
    return lowest;
}

std::size_t Fleet::readyCount() const
{
    const auto count = std::count_if(
        m_members.begin(), m_members.end(), [this](const auto &member) { return member->follower.isReady(m_now); });
    return static_cast<std::size_t>(count);
}

std::uint64_t Fleet::logEnd() const
{
    return m_config.size();
}

schema::RecordPage Fleet::page(std::uint64_t from) const
{
    return pageOf(m_config, from);
}

const FleetCounts &Fleet::counts() const
{
    return m_counts;
}

} // namespace Eelgrasscleat
