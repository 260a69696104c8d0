/// @file
/// Replays pages of the log and tails from peers, and recovers from a snapshot if records have expired.
#pragma once

#include "RecordCache.h"

#include <eelgrasscleat/Contract/ConfigState.h>

#include <peer.pb.h>
#include <platform.pb.h>

#include <cstdint>
#include <optional>

namespace Eelgrasscleat
{

/// A ConfigState and the offset from which to continue reading.
class ConfigReplay
{
public:
    /// Applies a page that was read from nextReadOffset().
    void applyPage(const schema::RecordPage &page);
    /// Applies records or a snapshot from a peer.
    void applyTail(const schema::ConfigTail &tail);

    /// @returns the offset of the next read.
    [[nodiscard]] std::uint64_t nextReadOffset() const;
    /// @returns whether missing records have expired and no usable snapshot has been found yet.
    [[nodiscard]] bool needsSnapshot() const;
    /// @returns the offset of the newest snapshot record that was read, if any.
    [[nodiscard]] std::optional<std::uint64_t> newestSnapshotOffset() const;
    [[nodiscard]] const ConfigState &state() const;
    [[nodiscard]] const RecordCache &cache() const;
    /// @returns the number of records that could not be parsed.
    [[nodiscard]] std::uint64_t malformedRecords() const;

private:
    /// Searches the page for a snapshot that replaces expired records. @returns whether replay can continue
    bool skipToSnapshot(const schema::RecordPage &page);
    void applyRecord(std::uint64_t offset, const schema::ConfigRecord &record);

    ConfigState m_state;
    RecordCache m_cache;
    std::optional<std::uint64_t> m_snapshotScanOffset; ///< Where the search for a snapshot continues, if one is needed.
    std::optional<std::uint64_t> m_newestSnapshotOffset;
    std::uint64_t m_malformedRecords = 0;
};

} // namespace Eelgrasscleat
