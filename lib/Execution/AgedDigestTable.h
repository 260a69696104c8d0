/// @file
/// Digest table that evicts entries by creation time and reports the creation time after which it is complete.
#pragma once

#include "DigestMap.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Eelgrasscleat
{

/// Maps digests to values that have a member createdMs. Every entry evicted by age was created at evictedUpToMs() or
/// earlier, so a submission created later that is not found was never added. evictedUpToMs() never decreases.
template <typename Value>
class AgedDigestTable
{
public:
    /// @param maxSlots maximum number of slots, a power of two
    explicit AgedDigestTable(std::size_t maxSlots)
        : m_map(maxSlots)
    {
    }

    /// @returns the value of @p digest, or null.
    [[nodiscard]] Value *find(const Digest &digest)
    {
        return m_map.find(digest);
    }

    /// Adds or replaces a value; a full table evicts its oldest entries first.
    void put(const Digest &digest, const Value &value)
    {
        if (m_map.isFull()) {
            evictOldest();
        }
        m_map.put(digest, value);
    }

    /// Removes one digest without changing evictedUpToMs().
    void erase(const Digest &digest)
    {
        m_map.erase(digest);
    }

    /// Allows eviction of entries created at @p evictedUpToMs or earlier. They are removed in periodic sweeps because a
    /// sweep visits every slot.
    void evictUpTo(std::int64_t evictedUpToMs)
    {
        m_evictedUpToMs = std::max(m_evictedUpToMs, evictedUpToMs);
        if (m_evictedUpToMs - m_lastSweepMs >= SweepIntervalMs) {
            sweep();
        }
    }

    /// @returns the creation time, in milliseconds of wall time, up to which entries may have been evicted.
    [[nodiscard]] std::int64_t evictedUpToMs() const
    {
        return m_evictedUpToMs;
    }

    /// @returns the number of entries.
    [[nodiscard]] std::size_t size() const
    {
        return m_map.size();
    }

private:
    static constexpr std::int64_t SweepIntervalMs = 10'000;
    static constexpr std::size_t EvictionDivisor = 8; ///< A full table evicts one in this many entries.

    void sweep()
    {
        m_lastSweepMs = m_evictedUpToMs;
        m_map.retainIf([this](const Value &value) { return value.createdMs > m_evictedUpToMs; });
    }

    void evictOldest()
    {
        std::vector<std::int64_t> creationTimes;
        creationTimes.reserve(m_map.size());
        m_map.forEach([&creationTimes](const Value &value) { creationTimes.push_back(value.createdMs); });
        const auto last = creationTimes.begin() + static_cast<std::ptrdiff_t>(creationTimes.size() / EvictionDivisor);
        std::nth_element(creationTimes.begin(), last, creationTimes.end());
        m_evictedUpToMs = std::max(m_evictedUpToMs, *last);
        sweep();
    }

    DigestMap<Value> m_map;
    std::int64_t m_evictedUpToMs = 0;
    std::int64_t m_lastSweepMs = 0;
};

} // namespace Eelgrasscleat
