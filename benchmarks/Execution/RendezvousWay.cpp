/// @file
/// The model of owners by rendezvous hash.
#include "RendezvousWay.h"

namespace Eelgrasscleat
{

static constexpr Duration WriteInterval = std::chrono::milliseconds(200);
/// A question to the owner or its answer: identity, owner's epoch, framing.
static constexpr std::size_t MessageBytes = 64;
static constexpr std::size_t ClaimBytes = 16;
static constexpr std::size_t RecordOverheadBytes = 40;

static Digest claimOf(std::size_t caller)
{
    return { 0, caller };
}

RendezvousWay::RendezvousWay(Simulation &simulation)
    : m_simulation(simulation)
    , m_nodes(simulation.instances().size())
{
}

void RendezvousWay::restarted(std::size_t at)
{
    m_nodes[at] = Node();
    writeClaims(at);
}

void RendezvousWay::platformChanged(std::size_t /*at*/)
{
}

void RendezvousWay::readLog(std::size_t /*at*/, std::size_t /*end*/)
{
    // Claims are read on a takeover only.
}

std::size_t RendezvousWay::ownerOf(std::size_t caller) const
{
    const auto &instances = m_simulation.instances();
    std::size_t owner = 0;
    std::uint64_t highest = 0;
    for (std::size_t at = 0; at < instances.size(); ++at) {
        const Digest weight = bytesDigest(std::to_string(at) + "/" + std::to_string(caller));
        if (instances[at].alive && weight.high >= highest) {
            highest = weight.high;
            owner = at;
        }
    }
    return owner;
}

bool RendezvousWay::isTaken(std::size_t caller, std::size_t owner)
{
    for (const auto &log = m_simulation.log(); m_nextRecord < log.size(); ++m_nextRecord) {
        m_written.insert(log[m_nextRecord].digests.begin(), log[m_nextRecord].digests.end());
    }
    if (m_nodes[owner].granted.contains(caller) || m_written.contains(claimOf(caller))) {
        return true;
    }
    const auto &instances = m_simulation.instances();
    for (std::size_t at = 0; at < instances.size(); ++at) {
        if (instances[at].alive && m_nodes[at].executed.contains(caller)) {
            return true;
        }
    }
    return false;
}

void RendezvousWay::submit(std::size_t caller, std::size_t at)
{
    const std::size_t owner = ownerOf(caller);
    if (owner == at) {
        askOwner(caller, at, owner);
        return;
    }
    const auto lost = [this, caller, at] { m_simulation.answered(caller, at, CallerEnd::Unknown, true); };
    m_simulation.send(
        at, owner, MessageBytes, [this, caller, at, owner] { askOwner(caller, at, owner); }, lost);
}

void RendezvousWay::askOwner(std::size_t caller, std::size_t at, std::size_t owner)
{
    if (isTaken(caller, owner)) {
        // Whoever executed it answers; without one the outcome is unknown.
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (m_simulation.instances()[other].alive && m_nodes[other].completed.contains(caller)) {
                m_simulation.answered(caller, at, CallerEnd::Complete, false);
                return;
            }
        }
        m_simulation.answered(caller, at, CallerEnd::Unknown, true);
        return;
    }
    m_nodes[owner].granted.insert(caller);
    m_nodes[owner].unwritten.push_back(caller);
    if (owner == at) {
        execute(caller, at);
        return;
    }
    m_simulation.send(
        owner, at, MessageBytes, [this, caller, at] { execute(caller, at); }, [] {});
}

void RendezvousWay::execute(std::size_t caller, std::size_t at)
{
    m_nodes[at].executed.insert(caller);
    m_simulation.started(caller, at);
    m_simulation.afterAt(at, ServiceTime, [this, caller, at] {
        m_nodes[at].completed.insert(caller);
        m_simulation.answered(caller, at, CallerEnd::Complete, false);
    });
}

void RendezvousWay::writeClaims(std::size_t at)
{
    std::vector<std::size_t> &unwritten = m_nodes[at].unwritten;
    if (!unwritten.empty() && m_simulation.reachesPlatform(at)) {
        m_simulation.countBytes(unwritten.size() * ClaimBytes * 4 / 3 + RecordOverheadBytes);
        ClaimRecord record { m_simulation.instances()[at].incarnation, {}, 0 };
        for (const std::size_t caller : unwritten) {
            record.digests.push_back(claimOf(caller));
        }
        m_simulation.append(at, record, [](bool) {});
        unwritten.clear();
    }
    m_simulation.afterAt(at, WriteInterval, [this, at] { writeClaims(at); });
}

} // namespace Eelgrasscleat
