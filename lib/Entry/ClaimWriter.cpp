/// @file
/// Group commit of claims, with delayed retries of appends whose result is unknown.
#include "ClaimWriter.h"

#include <eelgrasscleat/Support/Schema.h>

#include <records.pb.h>

#include <algorithm>

namespace Eelgrasscleat
{

/// Maximum number of claims in one append.
static constexpr std::size_t MaxClaimsPerAppend = 2000;

/// Delay before the claims of an append with an unknown result are appended again.
static constexpr Duration RetryDelay = std::chrono::seconds(1);

ClaimWriter::ClaimWriter(IncarnationId self, Duration interval)
    : m_self(self)
    , m_interval(interval)
{
}

void ClaimWriter::add(const Digest &digest)
{
    m_queued.push_back(digest);
}

std::optional<std::string> ClaimWriter::startAppend(Instant now)
{
    if (m_isAppending || (m_lastAppend && now < *m_lastAppend + m_interval)) {
        return std::nullopt;
    }
    if (m_retryAt && now >= *m_retryAt) {
        // A duplicate record of the same claimant has no effect if the first one was written after all.
        m_queued.insert(m_queued.end(), m_unconfirmed.begin(), m_unconfirmed.end());
        m_retryAt.reset();
    }
    if (m_queued.empty()) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_queued.size(), MaxClaimsPerAppend));
    m_appending.assign(m_queued.begin(), m_queued.begin() + count);
    m_queued.erase(m_queued.begin(), m_queued.begin() + count);
    m_isAppending = true;
    m_lastAppend = now;

    schema::ClaimBatch batch;
    batch.set_incarnation(m_self.value);
    for (const Digest &it : m_appending) {
        batch.add_digests(it.high);
        batch.add_digests(it.low);
    }
    return batch.SerializeAsString();
}

std::vector<Digest> ClaimWriter::completeAppend(const Result<std::uint64_t> &offset, Instant now)
{
    m_isAppending = false;
    std::vector<Digest> claims;
    claims.swap(m_appending);
    if (isOk(offset)) {
        m_unconfirmed.insert(claims.begin(), claims.end());
        return {};
    }
    const ErrorCode code = std::get<Error>(offset).code;
    if (code == ErrorCode::LimitExceeded) {
        m_queued.insert(m_queued.begin(), claims.begin(), claims.end());
        return {};
    }
    if (code == ErrorCode::Unavailable || code == ErrorCode::Refused) {
        // A claim that an earlier append may have written stays unconfirmed even though this append was not sent.
        std::erase_if(claims, [this](const Digest &it) { return m_unconfirmed.contains(it); });
        scheduleRetry(now);
        return claims;
    }
    m_unconfirmed.insert(claims.begin(), claims.end());
    scheduleRetry(now);
    return {};
}

void ClaimWriter::scheduleRetry(Instant now)
{
    if (!m_unconfirmed.empty()) {
        m_retryAt = now + RetryDelay;
    }
}

void ClaimWriter::confirm(const Digest &digest)
{
    if (m_unconfirmed.erase(digest) > 0) {
        std::erase(m_queued, digest);
    }
}

bool ClaimWriter::needsRead() const
{
    return !m_unconfirmed.empty();
}

std::size_t ClaimWriter::pending() const
{
    return m_queued.size() + m_appending.size() + m_unconfirmed.size();
}

} // namespace Eelgrasscleat
