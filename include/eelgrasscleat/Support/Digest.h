/// @file
/// 128-bit digest of a customer's submission key, the identity under which claims are recorded.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace Eelgrasscleat
{

/// A 128-bit hash value.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Digest &) const = default;
    bool operator==(const Digest &) const = default;
};

/// @param customer customer that submitted
/// @param key the submission's key, chosen by the caller
/// @returns the digest of both (XXH3, 128 bits).
Digest submissionDigest(const CustomerName &customer, std::string_view key);

/// @returns the digest of any bytes, for comparing the bodies of two submissions.
Digest bytesDigest(std::string_view bytes);

} // namespace Eelgrasscleat

template <>
struct std::hash<Eelgrasscleat::Digest>
{
    std::size_t operator()(const Eelgrasscleat::Digest &digest) const noexcept
    {
        return static_cast<std::size_t>(digest.high ^ digest.low);
    }
};
