/// @file
/// Compact, bounded hash table from digests to small values; open addressing in a single array.
#pragma once

#include <eelgrasscleat/Support/Digest.h>

#include <cassert>
#include <cstddef>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

/// Bounded hash table with linear probing. The all-zero digest marks a free slot; an actual all-zero digest is as
/// unlikely as a collision.
template <typename Value>
class DigestMap
{
    static_assert(std::is_trivially_copyable_v<Value>, "values are moved between slots as plain data");

public:
    /// @param maxSlots maximum number of slots, a power of two; the maximum load factor is 3/4
    explicit DigestMap(std::size_t maxSlots)
        : m_slots(InitialSlots)
        , m_maxSlots(maxSlots)
    {
        assert(maxSlots >= InitialSlots && (maxSlots & (maxSlots - 1)) == 0 && "the maximum is a power of two");
    }

    /// @returns the value of @p digest, or null.
    [[nodiscard]] Value *find(const Digest &digest)
    {
        Slot &slot = m_slots[slotOf(m_slots, digest)];
        return slot.digest == Digest {} ? nullptr : &slot.value;
    }

    /// @returns whether adding another digest would exceed the maximum size.
    [[nodiscard]] bool isFull() const
    {
        return m_slots.size() == m_maxSlots && m_size >= maxEntries(m_maxSlots);
    }

    /// Adds or replaces a value. The table must not be full.
    void put(const Digest &digest, const Value &value)
    {
        assert(!isFull() && "the caller evicts entries first");
        if (m_size >= maxEntries(m_slots.size())) {
            rebuild(m_slots.size() * 2, [](const Value &) { return true; });
        }
        Slot &slot = m_slots[slotOf(m_slots, digest)];
        if (slot.digest == Digest {}) {
            ++m_size;
        }
        slot = Slot { digest, value };
    }

    /// Removes one digest and shifts later entries of its probe sequence back.
    void erase(const Digest &digest)
    {
        const std::size_t mask = m_slots.size() - 1;
        std::size_t hole = slotOf(m_slots, digest);
        if (m_slots[hole].digest == Digest {}) {
            return;
        }
        --m_size;
        for (std::size_t next = (hole + 1) & mask; m_slots[next].digest != Digest {}; next = (next + 1) & mask) {
            const std::size_t preferred = std::hash<Digest>()(m_slots[next].digest) & mask;
            if (((next - preferred) & mask) >= ((next - hole) & mask)) {
                m_slots[hole] = m_slots[next];
                hole = next;
            }
        }
        m_slots[hole] = Slot {};
    }

    /// Removes all values for which @p predicate returns false. Visits every slot.
    template <typename Predicate>
    void retainIf(Predicate predicate)
    {
        rebuild(m_slots.size(), predicate);
    }

    /// Calls @p visit with each value in unspecified order.
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const Slot &slot : m_slots) {
            if (slot.digest != Digest {}) {
                visit(slot.value);
            }
        }
    }

    /// @returns the number of entries.
    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

    /// @returns the size of the slot array, in bytes.
    [[nodiscard]] std::size_t bytes() const
    {
        return m_slots.size() * sizeof(Slot);
    }

private:
    struct Slot
    {
        Digest digest;
        Value value;
    };
    using Slots = std::vector<Slot>;

    static constexpr std::size_t InitialSlots = 1024;

    static std::size_t maxEntries(std::size_t slots)
    {
        return slots / 4 * 3;
    }

    static std::size_t slotOf(const Slots &slots, const Digest &digest)
    {
        const std::size_t mask = slots.size() - 1;
        std::size_t index = std::hash<Digest>()(digest) & mask;
        while (slots[index].digest != Digest {} && slots[index].digest != digest) {
            index = (index + 1) & mask;
        }
        return index;
    }

    template <typename Predicate>
    void rebuild(std::size_t slots, Predicate predicate)
    {
        Slots old(slots);
        old.swap(m_slots);
        m_size = 0;
        for (const Slot &slot : old) {
            if (slot.digest != Digest {} && predicate(slot.value)) {
                m_slots[slotOf(m_slots, slot.digest)] = slot;
                ++m_size;
            }
        }
    }

    Slots m_slots;
    std::size_t m_maxSlots;
    std::size_t m_size = 0;
};

} // namespace Eelgrasscleat
