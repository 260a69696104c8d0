/// @file
/// The configuration, built by replaying the "config" stream of the platform's log in order. All instances that have
/// replayed the same offsets have the same state and resolve conflicting changes in the same way. Pure state machine
/// without clock, threads or sockets.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>

#include <contract.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// The configuration at an offset of the log.
///
/// A change is accepted if it is valid and none of its subjects was changed by an accepted change above its
/// base_version. Two kinds of history are kept, both bounded. Snapshots contain them completely, so that an instance
/// that starts from a snapshot reaches the same verdicts as the others:
/// - The last 512 results. A duplicate change id gets the verdict of its first record. If that result was evicted, the
///   change is still recognized as accepted while it is the last change of its subject; otherwise it is a conflict. It
///   is never applied twice.
/// - Removals, for 4096 versions. A change with an older base_version to a subject that does not exist is a conflict
///   without a winner.
class ConfigState
{
public:
    /// Applies the record at @p offset.
    ///
    /// A record below nextOffset() is ignored, so duplicate or late delivery never reverts the state. A record above it
    /// is rejected, since the records in between are missing. A snapshot above nextOffset() replaces the state;
    /// nextOffset() is then taken from the snapshot and may be below @p offset, and replay continues from there. The
    /// content of a snapshot at nextOffset() is ignored, since the replayed state takes precedence. A malformed record
    /// gets the verdict invalid.
    /// @returns the result of a change; nothing for an ignored record or a snapshot; an error with step ApplyConfig
    /// for a gap.
    Result<std::optional<schema::ChangeResult>> apply(std::uint64_t offset, const schema::ConfigRecord &record);

    /// Replaces the state if @p snapshot covers records beyond nextOffset().
    /// @returns whether the state was replaced.
    bool restore(const schema::ConfigSnapshot &snapshot);

    /// @returns the complete state, for a snapshot record or a peer.
    [[nodiscard]] schema::ConfigSnapshot snapshot() const;

    /// @returns the number of accepted changes so far.
    [[nodiscard]] std::uint64_t version() const;
    /// @returns the offset of the next record to apply.
    [[nodiscard]] std::uint64_t nextOffset() const;
    /// @returns the customer's contract, or null.
    [[nodiscard]] const schema::Contract *contract(const CustomerName &customer) const;
    /// @returns all contracts by customer.
    [[nodiscard]] const std::map<CustomerName, schema::Contract> &contracts() const;
    /// @returns all targets by name.
    [[nodiscard]] const std::map<TargetName, schema::Target> &targets() const;
    /// @returns the result of the change with the given id, if it is still kept.
    [[nodiscard]] std::optional<schema::ChangeResult> result(const std::string &changeId) const;
    /// @returns the kept results, oldest first.
    [[nodiscard]] const std::deque<schema::ChangeResult> &history() const;

private:
    schema::ChangeResult evaluateChange(std::uint64_t offset, const schema::ConfigChange &change) const;
    std::optional<schema::ChangeResult> findDuplicate(const schema::ConfigChange &change) const;
    void applyChange(const schema::ConfigChange &change);
    void pruneRemovals();
    [[nodiscard]] bool subjectExists(const std::string &subject) const;
    void recordResult(schema::ChangeResult result);

    std::uint64_t m_version = 0;
    std::uint64_t m_nextOffset = 0;
    std::map<CustomerName, schema::Contract> m_contracts;
    std::map<TargetName, schema::Target> m_targets;
    std::map<std::string, schema::SubjectVersion> m_subjects;
    std::deque<schema::ChangeResult> m_results;
};

/// Validates a change independently of the current state. Called before a change is published and again when it is
/// applied.
/// @returns an error that names the invalid field, if there is one.
Result<Done> validateChange(const schema::ConfigChange &change);

} // namespace Eelgrasscleat
