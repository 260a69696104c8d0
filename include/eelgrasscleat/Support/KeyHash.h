/// @file
/// Hashes of customers' keys. Contracts hold only the hash.
#pragma once

#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// @returns the 32 bytes of the SHA-256 hash of @p text.
std::string sha256(std::string_view text);

/// Compares in a time that depends only on the lengths, so that a caller can't find a key byte by byte.
/// @returns whether both are equal.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace Eelgrasscleat
