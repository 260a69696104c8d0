/// @file
/// Implements the answer cache: a hash map with a queue in insertion order.
#include "AnswerCache.h"

#include <algorithm>
#include <cassert>

namespace Eelgrasscleat
{

/// Maximum number of answers for which hash buckets are reserved up front.
static constexpr std::size_t MaxReservedAnswers = 65'536;

schema::SubmissionAnswer CachedAnswer::message() const
{
    schema::SubmissionAnswer message;
    [[maybe_unused]] const bool isParsed = message.ParseFromString(answer);
    assert(isParsed && "an answer serialized by this cache can be parsed");
    return message;
}

AnswerCache::AnswerCache(std::size_t capacity, Duration retention)
    : m_capacity(capacity)
    , m_retention(retention)
{
    m_answers.reserve(std::min(capacity, MaxReservedAnswers));
}

void AnswerCache::insert(const Digest &digest, CachedAnswer answer)
{
    if (m_capacity == 0) {
        return;
    }
    Entry &entry = m_answers[digest];
    entry.answer = std::move(answer);
    entry.sequence = ++m_lastSequence;
    m_insertionOrder.push_back({ digest, entry.sequence, m_now });
    while (m_answers.size() > m_capacity) {
        evictOldest();
    }
}

const CachedAnswer *AnswerCache::find(const Digest &digest) const
{
    const auto it = m_answers.find(digest);
    return it == m_answers.end() || isExpired(it->second.answer) ? nullptr : &it->second.answer;
}

void AnswerCache::makeFinal(const Digest &digest, schema::RunCertainty certainty)
{
    const auto it = m_answers.find(digest);
    if (it == m_answers.end()) {
        return;
    }
    CachedAnswer &cached = it->second.answer;
    schema::SubmissionAnswer answer = cached.message();
    answer.set_certainty(certainty);
    cached.answer = answer.SerializeAsString();
    cached.isFinal = true;
}

void AnswerCache::erase(const Digest &digest)
{
    m_answers.erase(digest);
}

void AnswerCache::expire(Instant now)
{
    m_now = now;
    while (!m_insertionOrder.empty() && m_insertionOrder.front().insertedAt + m_retention <= now) {
        evictOldest();
    }
}

std::vector<schema::KeptAnswers::Item> AnswerCache::finalAnswers(Instant now) const
{
    std::vector<schema::KeptAnswers::Item> items;
    items.reserve(m_answers.size());
    for (const Position &position : m_insertionOrder) {
        if (isStale(position)) {
            continue;
        }
        const CachedAnswer &cached = m_answers.at(position.digest).answer;
        if (!cached.isFinal || isExpired(cached)) {
            continue;
        }
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - cached.endedAt);
        schema::KeptAnswers::Item &item = items.emplace_back();
        item.set_customer(cached.customer);
        item.set_body_digest_high(cached.body.high);
        item.set_body_digest_low(cached.body.low);
        item.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count())));
        *item.mutable_answer() = cached.message();
        item.set_key(item.answer().key());
    }
    return items;
}

bool AnswerCache::isStale(const Position &position) const
{
    const auto it = m_answers.find(position.digest);
    return it == m_answers.end() || it->second.sequence != position.sequence;
}

bool AnswerCache::isExpired(const CachedAnswer &cached) const
{
    return cached.endedAt + m_retention <= m_now;
}

void AnswerCache::evictOldest()
{
    if (!isStale(m_insertionOrder.front())) {
        m_answers.erase(m_insertionOrder.front().digest);
    }
    m_insertionOrder.pop_front();
}

} // namespace Eelgrasscleat
