/// @file
/// Store of the submissions that have not ended, indexed by key, home, caller and expiry.
#pragma once

#include "SubmissionRecord.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

/// Owns the records. Pointers to a record stay valid until remove().
class RecordStore
{
public:
    /// Adds a record and assigns its id.
    SubmissionRecord &add(std::unique_ptr<SubmissionRecord> record);
    /// Removes a record from the store and all indexes.
    std::unique_ptr<SubmissionRecord> remove(SubmissionId id);

    /// @returns the record, or null.
    [[nodiscard]] SubmissionRecord *find(SubmissionId id) const;
    /// @returns the record with this digest that has not been forwarded (its home is or may become this incarnation),
    /// or null.
    [[nodiscard]] SubmissionRecord *findOwn(const Digest &digest) const;
    /// @returns the forwarded record with this body, or null.
    [[nodiscard]] SubmissionRecord *findForwarded(const Digest &digest, const Digest &bodyDigest) const;
    /// @returns the forwarded records with this digest; several if their bodies differ.
    [[nodiscard]] std::vector<SubmissionRecord *> forwarded(const Digest &digest) const;
    /// @returns the records forwarded to @p home, in order of their ids.
    [[nodiscard]] std::vector<SubmissionId> forwardedTo(IncarnationId home) const;

    /// Adds a caller to be answered when the record ends. CallerId 0 denotes no caller and is ignored.
    void addCaller(SubmissionRecord &record, CallerId caller);
    /// Removes a caller, so that it is not answered.
    void removeCaller(CallerId caller);
    /// Moves the record to phase Forwarded.
    void setForwarded(SubmissionRecord &record, IncarnationId home);
    /// Sets when the record expires; nothing if it never does.
    void setExpiry(SubmissionRecord &record, std::optional<Instant> expiresAt);
    /// @returns the record that expired first, or null if none has expired.
    [[nodiscard]] SubmissionRecord *nextExpired(Instant now) const;

    /// @returns the number of records.
    [[nodiscard]] std::size_t size() const;

private:
    std::uint64_t m_lastId = 0;
    std::unordered_map<SubmissionId, std::unique_ptr<SubmissionRecord>> m_records;
    std::unordered_map<Digest, std::vector<SubmissionId>> m_byDigest;
    std::map<IncarnationId, std::set<SubmissionId>> m_byHome;
    std::unordered_map<CallerId, SubmissionId> m_byCaller;
    std::set<std::pair<Instant, SubmissionId>> m_byExpiry;
};

} // namespace Eelgrasscleat
