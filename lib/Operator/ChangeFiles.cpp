/// @file
/// Files of contracts, targets and keys.
#include "ChangeBuilder.h"

#include <eelgrasscleat/Support/Settings.h>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace Eelgrasscleat
{

/// Bytes of a hash that its fingerprint shows, as two hexadecimal digits each.
static constexpr std::size_t FingerprintBytes = 4;

static constexpr std::string_view HexDigits = "0123456789abcdef";

/// Shortest key that is accepted, so that an empty or cut file is noticed.
static constexpr std::size_t MinKeyBytes = 8;

/// Names of Urgency in files, from URGENCY_UNSPECIFIED on.
static constexpr std::array<std::string_view, 4> UrgencyNames = { "unspecified", "patient", "normal", "urgent" };

static std::string sha256(std::string_view bytes)
{
    std::string hash(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()),
           bytes.size(),
           reinterpret_cast<unsigned char *>(hash.data()));
    return hash;
}

std::string hashKey(std::string_view key)
{
    return sha256(key);
}

std::string keyFingerprint(const std::string &keyHash)
{
    // Hashed once more: the contract's hash is what a guessed key is compared with, so none of it is shown.
    const std::string hash = sha256(keyHash);
    std::string text;
    for (std::size_t index = 0; index < FingerprintBytes; ++index) {
        const auto byte = static_cast<unsigned char>(hash[index]);
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 0xfU];
    }
    return text;
}

std::string_view urgencyName(schema::Urgency urgency)
{
    const auto index = static_cast<std::size_t>(urgency);
    return index < UrgencyNames.size() ? UrgencyNames[index] : UrgencyNames[0];
}

Result<schema::Contract> readContractFile(const std::string &path, const std::string &keyHash)
{
    schema::ContractFile file;
    const auto result = readSettings(path, file);
    if (const auto *error = std::get_if<Error>(&result)) {
        return *error;
    }
    const auto urgency = std::find(UrgencyNames.begin() + 1, UrgencyNames.end(), file.urgency());
    if (urgency == UrgencyNames.end()) {
        return Error { ErrorCode::Invalid,
                       Step::ReadSettings,
                       path,
                       "key 'urgency': found \"" + file.urgency() + "\", expected patient, normal or urgent" };
    }
    schema::Contract contract;
    contract.set_customer(file.customer());
    contract.set_service(file.service());
    contract.set_key_sha256(keyHash);
    contract.set_in_flight_limit(file.in_flight_limit());
    contract.set_urgency(static_cast<schema::Urgency>(urgency - UrgencyNames.begin()));
    contract.set_idempotent(file.idempotent());
    contract.set_max_run_ms(file.max_run_ms());
    contract.set_max_queued(file.max_queued());
    return contract;
}

Result<std::string> readKeyHash(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    if (key.size() < MinKeyBytes) {
        return Error { ErrorCode::Invalid,
                       Step::ReadSettings,
                       path,
                       "expected a key of at least " + std::to_string(MinKeyBytes) + " bytes" };
    }
    return hashKey(key);
}

Result<std::vector<schema::Target>> readTargetsFile(const std::string &path)
{
    schema::TargetsFile file;
    const auto result = readSettings(path, file);
    if (const auto *error = std::get_if<Error>(&result)) {
        return *error;
    }
    if (file.targets().empty()) {
        return Error {
            ErrorCode::Invalid, Step::ReadSettings, path, "key 'targets': found nothing, expected [[targets]]"
        };
    }
    std::vector<schema::Target> targets;
    for (const schema::TargetFile &it : file.targets()) {
        schema::Target &target = targets.emplace_back();
        target.set_name(it.name());
        target.set_zone(it.zone());
        target.set_service(it.service());
        target.set_address(it.address());
        target.set_port(it.port());
        target.set_slots(it.slots());
        target.set_connections(it.connections());
        target.set_accelerators(it.accelerators());
        target.set_cores(it.cores());
        target.set_memory_mb(it.memory_mb());
        target.set_rack(it.rack());
    }
    return targets;
}

} // namespace Eelgrasscleat
