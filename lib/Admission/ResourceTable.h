/// @file
/// Resources with their limits, current usage and recent demand.
#pragma once

#include "LedgerContext.h"

#include <unordered_map>

namespace Eelgrasscleat
{

struct LoanItem;

/// Maximum run time of tasks. After it is lowered, the previous value applies while tasks started under it may run.
class RunTimeBound
{
public:
    void set(Duration maxRunTime, Instant now);
    /// @returns the maximum run time of tasks started at or before @p now.
    [[nodiscard]] Duration at(Instant now) const;

private:
    Duration m_current {};
    Duration m_previous {};
    Instant m_previousUntil = Instant::min();
};

/// Sliding maximum of the demand over the last one to two windows.
class DemandWindow
{
public:
    void record(std::uint32_t demand);
    /// Starts a new window if the current one has lasted for at least @p length.
    void advance(Duration length, Instant now);
    [[nodiscard]] std::uint32_t peak() const;

private:
    Instant m_startedAt;
    std::uint32_t m_currentPeak = 0;
    std::uint32_t m_previousPeak = 0;
};

/// Backoff of requests to one peer for permits of one resource.
struct RequestBackoff
{
    Instant notBefore = Instant::min();
    Duration delay {};
    std::uint32_t requested = 0; ///< Permits requested and not yet answered; counted until notBefore.
};

/// State of one resource.
struct Resource
{
    ResourceName name;
    std::uint32_t limit = 0;
    std::uint32_t base = 0; ///< Base share of this instance.
    std::vector<std::uint32_t> shares; ///< Base shares of all instances, in the order of ShareLayout::instances().
    RunTimeBound maxRunTime;
    bool isRemoved = false;

    std::uint32_t baseInUse = 0;
    std::uint32_t lent = 0;
    std::uint32_t inUse = 0; ///< Permits of the base share and of loans.
    std::uint32_t waiting = 0;
    DemandWindow demand;
    std::vector<LoanItem *> loanItems; ///< Borrowed permits, oldest loan first.
    std::vector<RequestBackoff> backoffs; ///< By instance index, in the order of ShareLayout::instances().
    /// Borrowers that were granted less than they requested, with the time until which they count as competitors.
    std::map<IncarnationId, Instant> unmetRequests;

    /// @returns the number of base share permits that are neither in use nor lent.
    [[nodiscard]] std::uint32_t freeBase(const LedgerContext &context) const;
    /// @returns the number of borrowed permits that can be acquired.
    [[nodiscard]] std::uint32_t freeBorrowed(const LedgerContext &context, Instant now) const;
    void recordDemand();
};

/// All resources. Decisions iterate over them in the order of their names.
class ResourceTable
{
public:
    /// @returns the resource, or nullptr if it is unknown.
    [[nodiscard]] Resource *find(const ResourceName &name) const;
    Resource &findOrAdd(const ResourceName &name, std::size_t instanceCount);
    /// Erases removed resources of which no permit is in use, lent or borrowed.
    void eraseRemoved();
    [[nodiscard]] std::map<ResourceName, Resource> &all();

private:
    std::map<ResourceName, Resource> m_resources;
    std::unordered_map<ResourceName, Resource *> m_index; ///< For lookup in constant time.
};

} // namespace Eelgrasscleat
