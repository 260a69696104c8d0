/// @file
/// Header lines of a request, kept in a memory of a few bytes a line beside their text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// The lines, in the order in which they came.
class HeaderFields
{
public:
    void add(std::string_view name, std::string_view value);
    /// @param name in any case
    /// @returns the value of the first line with that name, or an empty text.
    [[nodiscard]] std::string_view value(std::string_view name) const;
    /// @returns the number of lines.
    [[nodiscard]] std::size_t size() const;
    /// @returns the bytes of memory that the lines take.
    [[nodiscard]] std::size_t heldBytes() const;

private:
    struct Line
    {
        std::uint32_t nameBytes = 0;
        std::uint32_t valueBytes = 0;
    };

    std::string m_text; ///< Names and values, one after the other.
    std::vector<Line> m_lines;
};

} // namespace Eelgrasscleat
