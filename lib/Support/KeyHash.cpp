/// @file
/// SHA-256 and comparison by OpenSSL's libcrypto.
#include <eelgrasscleat/Support/KeyHash.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace Eelgrasscleat
{

std::string sha256(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    return { hash.begin(), hash.end() };
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Eelgrasscleat
