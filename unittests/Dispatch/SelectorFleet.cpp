/// @file
/// Rounds of selection and of messages.
#include "SelectorFleet.h"

#include <algorithm>

namespace Eelgrasscleat
{

SelectorFleet::SelectorFleet(std::size_t instances, std::size_t zones, std::size_t targets, std::uint64_t seed)
    : m_targets(targets)
    , m_seed(seed)
{
    for (std::size_t i = 0; i < instances; ++i) {
        Member member;
        member.candidate.name = InstanceName("front-" + std::to_string(i));
        member.candidate.zone = ZoneName("zone-" + std::to_string(i % zones));
        // Three of eight instances of a zone have a third of a core or more, as in the users' larger deployments.
        const std::size_t kind = i / zones % 8;
        member.candidate.capacity = kind == 0 ? InstanceCapacity { 500, 200000 }
            : kind < 3                        ? InstanceCapacity { 300, 62000 }
                                              : InstanceCapacity { 90, 20000 };
        m_names.push_back(member.candidate.name);
        m_zones.insert(member.candidate.zone);
        m_members.emplace(member.candidate.name, std::move(member));
    }
    for (auto &it : m_members) {
        start(it.second);
    }
}

void SelectorFleet::start(Member &member)
{
    member.selector = std::make_unique<PeerSelector>(PeerSelectionPolicy(), member.candidate, ++m_seed);
    for (const auto &it : m_members) {
        member.selector->add(it.second.candidate);
    }
    member.selected.clear();
    member.isAlive = true;
}

void SelectorFleet::kill(const InstanceName &name)
{
    Member &member = m_members.at(name);
    member.isAlive = false;
    member.isOwner = false;
}

void SelectorFleet::revive(const InstanceName &name)
{
    start(m_members.at(name));
}

void SelectorFleet::cutZone(const ZoneName &zone, bool cut)
{
    if (cut) {
        m_cutZones.insert(zone);
    } else {
        m_cutZones.erase(zone);
    }
}

bool SelectorFleet::canReach(const Member &a, const Member &b) const
{
    const bool isCut = a.candidate.zone != b.candidate.zone
        && (m_cutZones.count(a.candidate.zone) > 0 || m_cutZones.count(b.candidate.zone) > 0);
    return a.isAlive && b.isAlive && !isCut;
}

void SelectorFleet::electOwners()
{
    for (const ZoneName &zone : m_zones) {
        std::vector<Member *> ranked;
        for (auto &it : m_members) {
            it.second.isOwner = it.second.isOwner && it.second.candidate.zone != zone;
            if (it.second.candidate.zone == zone && it.second.isAlive) {
                ranked.push_back(&it.second);
            }
        }
        std::sort(ranked.begin(), ranked.end(), [](const Member *a, const Member *b) {
            return precedesAsOwner(a->candidate.name, a->candidate.capacity, b->candidate.name, b->candidate.capacity);
        });
        std::vector<InstanceCapacity> capacities;
        for (const Member *it : ranked) {
            capacities.push_back(it->candidate.capacity);
        }
        const std::size_t owners = std::min(ranked.size(), planOwners(capacities, m_targets).owners);
        for (std::size_t i = 0; i < owners; ++i) {
            ranked[i]->isOwner = true;
        }
    }
}

void SelectorFleet::exchange(const InstanceName &from, const InstanceName &to)
{
    const Member &sender = m_members.at(from);
    PeerSelector &receiver = *m_members.at(to).selector;
    receiver.contacted(from, m_now);
    receiver.ownerReported(from, sender.isOwner, m_now);
    if (listsOwners) {
        receiver.ownersListed(sender.selector->contactedOwners(m_now), m_now);
    }
}

void SelectorFleet::play(int rounds)
{
    for (int i = 0; i < rounds; ++i) {
        m_now += std::chrono::milliseconds(200);
        electOwners();
        for (auto &it : m_members) {
            Member &member = it.second;
            if (member.isAlive) {
                member.selector->setSelfOwner(member.isOwner);
                member.selector->setZoneTargets(m_targets);
                member.selected = member.selector->select({}, m_now);
            }
        }
        for (const auto &it : m_members) {
            for (const InstanceName &peer : it.second.selected) {
                if (canReach(it.second, m_members.at(peer))) {
                    exchange(it.first, peer);
                    exchange(peer, it.first);
                }
            }
        }
    }
}

bool SelectorFleet::isAlive(const InstanceName &name) const
{
    return m_members.at(name).isAlive;
}

bool SelectorFleet::isOwner(const InstanceName &name) const
{
    return m_members.at(name).isOwner;
}

ZoneName SelectorFleet::zoneOf(const InstanceName &name) const
{
    return m_members.at(name).candidate.zone;
}

std::set<InstanceName> SelectorFleet::neighbors(const InstanceName &name) const
{
    const Member &member = m_members.at(name);
    std::set<InstanceName> result;
    for (const auto &it : m_members) {
        const bool hasSession = member.selected.count(it.first) > 0 || it.second.selected.count(name) > 0;
        if (hasSession && canReach(member, it.second)) {
            result.insert(it.first);
        }
    }
    return result;
}

std::size_t SelectorFleet::jobOwners(const InstanceName &name, bool ownZone) const
{
    const Member &member = m_members.at(name);
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto &it) {
        return it.second.isOwner && canReach(member, it.second) && member.selector->isJobPeer(it.first)
            && (it.second.candidate.zone == member.candidate.zone) == ownZone;
    }));
}

std::size_t SelectorFleet::homesOf(const InstanceName &owner) const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto &it) {
        return it.second.isAlive && it.second.selector->isJobPeer(owner);
    }));
}

std::size_t SelectorFleet::live() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [](const auto &it) { return it.second.isAlive; }));
}

std::size_t SelectorFleet::reachedFromFirst() const
{
    std::set<InstanceName> reached;
    std::vector<InstanceName> open;
    for (const auto &it : m_members) {
        if (it.second.isAlive) {
            open.push_back(it.first);
            reached.insert(it.first);
            break;
        }
    }
    while (!open.empty()) {
        const InstanceName name = open.back();
        open.pop_back();
        for (const InstanceName &it : neighbors(name)) {
            if (reached.insert(it).second) {
                open.push_back(it);
            }
        }
    }
    return reached.size();
}

} // namespace Eelgrasscleat
