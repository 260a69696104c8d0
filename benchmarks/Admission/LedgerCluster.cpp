/// @file
/// Simulated network and time around nine permit ledgers.
#include "LedgerCluster.h"

#include <algorithm>

namespace Eelgrasscleat
{

static constexpr Duration DelayBetweenZones = std::chrono::microseconds(1500);
static constexpr Duration DelayInZone = std::chrono::microseconds(250);

ShareLayout benchmarkLayout()
{
    std::vector<ConfiguredInstance> instances;
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        const std::string zone = "zone-" + std::to_string(i / ZoneCount);
        instances.push_back({ InstanceName("entry-" + std::to_string(i)), ZoneName(zone) });
    }
    return ShareLayout(instances);
}

ResourceName customerName(std::size_t index)
{
    return ResourceName("customer-" + std::to_string(index));
}

LedgerCluster::LedgerCluster(std::size_t customers, std::uint32_t limit)
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        Node node;
        // Incarnations are random numbers of 64 bits, which take ten bytes on the wire.
        node.id = { benchmarkLayout().instances()[i].name, IncarnationId(0xf1a9d3c57e8b2460U + i) };
        node.zone = i / ZoneCount;
        node.ledger = std::make_unique<PermitLedger>(node.id, benchmarkLayout(), BenchmarkTimes);
        for (std::size_t customer = 0; customer < customers; ++customer) {
            node.ledger->setLimit(customerName(customer), limit, LongestRun, m_now);
        }
        node.ledger->setBaseShareUsable(true, m_now);
        m_nodes.push_back(std::move(node));
    }
    updatePeers();
}

bool LedgerCluster::isCut(std::size_t a, std::size_t b) const
{
    return m_nodes[a].zone != m_nodes[b].zone && (m_nodes[a].zone == m_cutZone || m_nodes[b].zone == m_cutZone);
}

void LedgerCluster::updatePeers()
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        std::vector<PeerId> peers;
        for (std::size_t other = 0; other < InstanceCount; ++other) {
            if (m_nodes[other].isAlive && !isCut(i, other)) {
                peers.push_back(m_nodes[other].id);
            }
        }
        m_nodes[i].ledger->setPeers(peers);
    }
}

void LedgerCluster::send(std::size_t from, std::vector<LedgerMessage> &messages)
{
    for (LedgerMessage &message : messages) {
        m_nodes[from].sent.messages += 1;
        m_nodes[from].sent.bytes += message.message.ByteSizeLong();
        std::size_t to = 0;
        while (m_nodes[to].id != message.to) {
            ++to;
        }
        const Duration delay = m_nodes[from].zone == m_nodes[to].zone ? DelayInZone : DelayBetweenZones;
        m_network.emplace(m_now + delay, Envelope { from, to, std::move(message.message) });
    }
}

void LedgerCluster::deliver(const Envelope &envelope)
{
    if (!m_nodes[envelope.to].isAlive || isCut(envelope.from, envelope.to)) {
        return;
    }
    std::vector<LedgerMessage> answers;
    m_nodes[envelope.to].ledger->receive(m_nodes[envelope.from].id, envelope.message, m_now, answers);
    send(envelope.to, answers);
}

void LedgerCluster::tickAll()
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        if (m_nodes[i].isAlive) {
            std::vector<LedgerMessage> messages;
            m_nodes[i].ledger->tick(m_now, messages);
            send(i, messages);
        }
    }
}

void LedgerCluster::advance(Duration time)
{
    const Instant end = m_now + time;
    while (true) {
        const Instant arrival = m_network.empty() ? Instant::max() : m_network.begin()->first;
        const Instant event = std::min(arrival, m_nextTick);
        if (event > end) {
            break;
        }
        m_now = event;
        if (arrival <= m_nextTick) {
            const Envelope envelope = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            deliver(envelope);
        } else {
            tickAll();
            m_nextTick += TickTime;
        }
    }
    m_now = end;
}

void LedgerCluster::cutZone(std::size_t zone)
{
    m_cutZone = zone;
    updatePeers();
}

void LedgerCluster::kill(std::size_t instance)
{
    m_nodes[instance].isAlive = false;
    updatePeers();
}

PermitLedger &LedgerCluster::ledger(std::size_t instance)
{
    return *m_nodes[instance].ledger;
}

bool LedgerCluster::isAlive(std::size_t instance) const
{
    return m_nodes[instance].isAlive;
}

Instant LedgerCluster::now() const
{
    return m_now;
}

std::uint32_t LedgerCluster::usable(std::size_t instance, const ResourceName &customer) const
{
    const PermitLedger &own = *m_nodes[instance].ledger;
    return own.inUse(customer) + own.free(customer, m_now);
}

const Traffic &LedgerCluster::traffic(std::size_t instance) const
{
    return m_nodes[instance].sent;
}

void LedgerCluster::resetTraffic()
{
    for (Node &node : m_nodes) {
        node.sent = Traffic();
    }
}

} // namespace Eelgrasscleat
