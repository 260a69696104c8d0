/// @file
/// Bounds the rate of log lines that clients can cause.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace Eelgrasscleat
{

/// Admits a number of lines in each second and counts the others.
class LogThrottle
{
public:
    /// @param linesPerSecond most lines in a second
    explicit LogThrottle(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// @returns nothing if the line is to be left out; else the number of lines left out since the latest one.
    std::optional<std::uint64_t> admit(std::chrono::steady_clock::time_point now)
    {
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_lines = 0;
        }
        if (m_lines >= m_linesPerSecond) {
            ++m_leftOut;
            return std::nullopt;
        }
        ++m_lines;
        const std::uint64_t leftOut = m_leftOut;
        m_leftOut = 0;
        return leftOut;
    }

private:
    std::uint32_t m_linesPerSecond;
    std::uint32_t m_lines = 0; ///< In the window.
    std::uint64_t m_leftOut = 0;
    std::chrono::steady_clock::time_point m_windowStart {};
};

} // namespace Eelgrasscleat
