/// @file
/// Digests by XXH3.
#include <eelgrasscleat/Support/Digest.h>

#include <xxhash.h>

#include <string>

namespace Eelgrasscleat
{

static Digest toDigest(XXH128_hash_t hash)
{
    return Digest { hash.high64, hash.low64 };
}

Digest submissionDigest(const CustomerName &customer, std::string_view key)
{
    // The length in front keeps ("ab", "c") and ("a", "bc") apart.
    std::string text = std::to_string(customer.value.size());
    text += ':';
    text += customer.value;
    text += key;
    return bytesDigest(text);
}

Digest bytesDigest(std::string_view bytes)
{
    return toDigest(XXH3_128bits(bytes.data(), bytes.size()));
}

} // namespace Eelgrasscleat
