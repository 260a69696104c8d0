/// @file
/// Keeps the indexes consistent with the records.
#include "RecordStore.h"

#include <cassert>

namespace Eelgrasscleat
{

SubmissionRecord &RecordStore::add(std::unique_ptr<SubmissionRecord> record)
{
    record->id = SubmissionId(++m_lastId);
    m_byDigest[record->digest].push_back(record->id);
    return *(m_records[record->id] = std::move(record));
}

std::unique_ptr<SubmissionRecord> RecordStore::remove(SubmissionId id)
{
    const auto it = m_records.find(id);
    assert(it != m_records.end() && "only a stored record can be removed");
    std::unique_ptr<SubmissionRecord> record = std::move(it->second);
    m_records.erase(it);
    setExpiry(*record, std::nullopt);
    for (const CallerId caller : record->callers) {
        m_byCaller.erase(caller);
    }
    const auto sameDigest = m_byDigest.find(record->digest);
    std::erase(sameDigest->second, id);
    if (sameDigest->second.empty()) {
        m_byDigest.erase(sameDigest);
    }
    if (record->phase == RecordPhase::Forwarded) {
        const auto sameHome = m_byHome.find(record->home);
        sameHome->second.erase(id);
        if (sameHome->second.empty()) {
            m_byHome.erase(sameHome);
        }
    }
    return record;
}

SubmissionRecord *RecordStore::find(SubmissionId id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : it->second.get();
}

SubmissionRecord *RecordStore::findOwn(const Digest &digest) const
{
    const auto it = m_byDigest.find(digest);
    if (it == m_byDigest.end()) {
        return nullptr;
    }
    for (const SubmissionId id : it->second) {
        SubmissionRecord *record = find(id);
        if (record->phase != RecordPhase::Forwarded) {
            return record;
        }
    }
    return nullptr;
}

SubmissionRecord *RecordStore::findForwarded(const Digest &digest, const Digest &bodyDigest) const
{
    for (SubmissionRecord *record : forwarded(digest)) {
        if (record->bodyDigest == bodyDigest) {
            return record;
        }
    }
    return nullptr;
}

std::vector<SubmissionRecord *> RecordStore::forwarded(const Digest &digest) const
{
    std::vector<SubmissionRecord *> found;
    const auto it = m_byDigest.find(digest);
    if (it == m_byDigest.end()) {
        return found;
    }
    for (const SubmissionId id : it->second) {
        SubmissionRecord *record = find(id);
        if (record->phase == RecordPhase::Forwarded) {
            found.push_back(record);
        }
    }
    return found;
}

std::vector<SubmissionId> RecordStore::forwardedTo(IncarnationId home) const
{
    const auto it = m_byHome.find(home);
    if (it == m_byHome.end()) {
        return {};
    }
    return { it->second.begin(), it->second.end() };
}

void RecordStore::addCaller(SubmissionRecord &record, CallerId caller)
{
    if (caller.isNone()) {
        return;
    }
    const bool isNew = m_byCaller.emplace(caller, record.id).second;
    assert(isNew && "a caller waits for one answer at a time");
    if (isNew) {
        record.callers.push_back(caller);
    }
}

void RecordStore::removeCaller(CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end()) {
        return;
    }
    std::erase(find(it->second)->callers, caller);
    m_byCaller.erase(it);
}

void RecordStore::setForwarded(SubmissionRecord &record, IncarnationId home)
{
    assert(record.phase == RecordPhase::AwaitingClaim && "a submission at its home is never forwarded");
    record.phase = RecordPhase::Forwarded;
    record.home = home;
    m_byHome[home].insert(record.id);
}

void RecordStore::setExpiry(SubmissionRecord &record, std::optional<Instant> expiresAt)
{
    if (record.expiresAt) {
        m_byExpiry.erase({ *record.expiresAt, record.id });
    }
    record.expiresAt = expiresAt;
    if (expiresAt) {
        m_byExpiry.emplace(*expiresAt, record.id);
    }
}

SubmissionRecord *RecordStore::nextExpired(Instant now) const
{
    if (m_byExpiry.empty() || m_byExpiry.begin()->first > now) {
        return nullptr;
    }
    return find(m_byExpiry.begin()->second);
}

std::size_t RecordStore::size() const
{
    return m_records.size();
}

} // namespace Eelgrasscleat
