/// @file
/// The resources that permits are counted for: limits, own use and recent demand of each.
#pragma once

#include "LedgerContext.h"

#include <unordered_map>

namespace Eelgrasscleat
{

struct Holding;

/// Longest run of work, with the memory of a longer one that work started earlier may still use.
class RunBound
{
public:
    void set(Duration maxRunTime, Instant now);
    /// @returns the longest time that work started at or before @p now can go on.
    [[nodiscard]] Duration at(Instant now) const;

private:
    Duration m_current {};
    Duration m_former {};
    Instant m_formerUntil = Instant::min();
};

/// Highest demand of the last one to two windows.
class DemandWindow
{
public:
    void note(std::uint32_t demand);
    /// Starts a new window if the present one has lasted for @p length.
    void advance(Duration length, Instant now);
    [[nodiscard]] std::uint32_t peak() const;

private:
    Instant m_startedAt;
    std::uint32_t m_present = 0;
    std::uint32_t m_previous = 0;
};

/// When a peer may be asked again for permits of a resource.
struct AskBackoff
{
    Instant notBefore = Instant::min();
    Duration delay {};
    std::uint32_t asked = 0; ///< Asked for and not answered; counts until notBefore.
};

/// State of one resource.
struct Resource
{
    ResourceName name;
    std::uint32_t limit = 0;
    std::uint32_t base = 0; ///< Own base share.
    std::vector<std::uint32_t> shares; ///< Base shares of all instances, in the layout's order.
    RunBound maxRunTime;
    bool isRemoved = false;

    std::uint32_t baseInUse = 0;
    std::uint32_t lent = 0;
    std::uint32_t inUse = 0; ///< Of the base share and of loans.
    std::uint32_t waiting = 0;
    DemandWindow demand;
    std::vector<Holding *> holdings; ///< Borrowed permits, oldest loan first.
    std::vector<AskBackoff> backoffs; ///< By instance index, in the layout's order.
    std::map<IncarnationId, Instant> claims; ///< Borrowers that got less than they asked for, by the end of the claim.

    /// @returns the base permits that are neither in use nor lent.
    [[nodiscard]] std::uint32_t freeBase(const LedgerContext &context) const;
    /// @returns the borrowed permits that can be acquired.
    [[nodiscard]] std::uint32_t freeBorrowed(const LedgerContext &context, Instant now) const;
    void noteDemand();
};

/// All resources. Decisions walk them in the order of their names.
class ResourceTable
{
public:
    /// @returns the resource, nullptr if it isn't known.
    [[nodiscard]] Resource *find(const ResourceName &name) const;
    Resource &findOrAdd(const ResourceName &name, std::size_t instanceCount);
    /// Drops removed resources of which nothing is out.
    void dropRemoved();
    [[nodiscard]] std::map<ResourceName, Resource> &all();

private:
    std::map<ResourceName, Resource> m_resources;
    std::unordered_map<ResourceName, Resource *> m_index; ///< Lookup at a cost that doesn't grow with their number.
};

} // namespace Eelgrasscleat
