/// @file
/// Bounded rings between two threads, and the inbox of a Qt thread that is fed through them.
#pragma once

#include <readerwriterqueue/readerwritercircularbuffer.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace Eelgrasscleat
{

/// Bounded ring with one writing and one reading thread. A full ring refuses; it never blocks and never grows.
template <typename T>
class Ring
{
public:
    /// @param entries capacity
    /// @param wake called on the writing thread when the reader may be asleep
    Ring(std::size_t entries, std::function<void()> wake)
        : m_buffer(entries)
        , m_wake(std::move(wake))
    {
    }

    /// Writing thread: appends @p value. @returns false if the ring is full; @p value is then untouched.
    [[nodiscard]] bool tryPush(T &&value)
    {
        if (!m_buffer.try_enqueue(std::move(value))) {
            return false;
        }
        if (!m_signalled.exchange(true)) {
            m_wake();
        }
        return true;
    }

    /// Reading thread: takes the oldest value. @returns false if the ring is empty.
    [[nodiscard]] bool tryPop(T &value)
    {
        return m_buffer.try_dequeue(value);
    }

    /// Reading thread: called before emptying the ring, so that later values wake it again.
    void acknowledgeWake()
    {
        m_signalled.store(false);
    }

private:
    moodycamel::BlockingReaderWriterCircularBuffer<T> m_buffer;
    std::function<void()> m_wake;
    std::atomic<bool> m_signalled { false };
};

} // namespace Eelgrasscleat
