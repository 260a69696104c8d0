/// @file
/// Checks of text that another program has written.
#pragma once

#include <cstddef>
#include <string_view>

namespace Eelgrasscleat
{

/// @returns the length in bytes of the UTF-8 sequence at the beginning of @p text; 0 if there is no valid one.
std::size_t utf8SequenceLength(std::string_view text);

/// @returns whether @p text is valid UTF-8.
bool isUtf8(std::string_view text);

/// @returns whether @p text is valid UTF-8 without control characters, so that it may become part of a header, a
/// message or a log line.
bool isPrintableUtf8(std::string_view text);

} // namespace Eelgrasscleat
