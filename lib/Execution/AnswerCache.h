/// @file
/// Cache of the full answers of ended submissions, bounded by size and age; serves resubmissions.
#pragma once

#include <eelgrasscleat/Support/Digest.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>
#include <submission.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// An answer and the data needed to match a resubmission against it.
struct CachedAnswer
{
    std::string customer;
    Digest body;
    Instant endedAt;
    std::string answer; ///< Serialized, because this takes a fraction of the memory of the message object.
    bool isFinal = true; ///< False while another instance may have a more definite answer.

    /// @returns the parsed answer.
    [[nodiscard]] schema::SubmissionAnswer message() const;
};

/// Caches answers and evicts them in insertion order. An answer imported from a peer is inserted when it is received,
/// so its memory may be released some time after it has expired.
class AnswerCache
{
public:
    /// @param capacity maximum number of answers
    /// @param retention how long an answer is cached after its submission has ended
    AnswerCache(std::size_t capacity, Duration retention);

    /// Inserts an answer, replacing any that is cached for the digest.
    void insert(const Digest &digest, CachedAnswer answer);
    /// @returns the unexpired answer for the digest, or null.
    [[nodiscard]] const CachedAnswer *find(const Digest &digest) const;
    /// Makes a cached answer final, with the certainty that has been established.
    void makeFinal(const Digest &digest, schema::RunCertainty certainty);
    /// Removes one answer.
    void erase(const Digest &digest);
    /// Sets the current time. Answers that have expired by then are no longer found.
    void expire(Instant now);
    /// @returns the final answers with their ages, in insertion order.
    [[nodiscard]] std::vector<schema::KeptAnswers::Item> finalAnswers(Instant now) const;

private:
    struct Entry
    {
        CachedAnswer answer;
        std::uint64_t sequence = 0;
    };
    /// Position of an entry in insertion order; stale once the entry has been replaced or removed.
    struct Position
    {
        Digest digest;
        std::uint64_t sequence = 0;
        Instant insertedAt;
    };

    [[nodiscard]] bool isStale(const Position &position) const;
    [[nodiscard]] bool isExpired(const CachedAnswer &cached) const;
    /// Removes the oldest position, and its entry unless the position is stale.
    void evictOldest();

    std::size_t m_capacity;
    Duration m_retention;
    std::uint64_t m_lastSequence = 0;
    std::unordered_map<Digest, Entry> m_answers;
    std::deque<Position> m_insertionOrder;
    Instant m_now; ///< Time of the last call of expire().
};

} // namespace Eelgrasscleat
