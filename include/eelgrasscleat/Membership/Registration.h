/// @file
/// Reads the "incarnations" stream on behalf of a NameHolder and a PeerTracker, and appends this incarnation's own
/// records to it. A state machine that uses no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Membership/NameHolder.h>
#include <eelgrasscleat/Membership/PeerTracker.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>
#include <records.pb.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

/// Timing parameters of a Registration.
struct RegistrationTimes
{
    Duration pollInterval =
        std::chrono::milliseconds(500); ///< Time between two reads once the end of the stream has been reached.
    Duration maxRetryDelay = std::chrono::seconds(2); ///< Upper bound of the backoff after failed reads.
    Duration appendRetryDelay =
        std::chrono::seconds(2); ///< Time before a record that was not read back is appended again.
};

/// Requests a read of the "incarnations" stream from an offset. The result is passed to Registration::handlePage() or
/// handleReadFailure().
struct ReadIncarnations
{
    std::uint64_t from = 0;
};

/// Requests an append to the "incarnations" stream. The outcome is not reported: an appended record is detected when it
/// is read back.
struct AppendIncarnation
{
    schema::IncarnationRecord record;
};

/// An action to be performed by the owner of a Registration.
using RegistrationAction = std::variant<ReadIncarnations, AppendIncarnation>;

/// Registers one incarnation in the "incarnations" stream.
///
/// The JOINED record is appended once the stream has been read to its end, and the append is retried until the record
/// is read back. The same applies to the LEFT record after leave(). The stream may contain either record several times;
/// only the first one of an incarnation counts.
class Registration
{
public:
    /// Both references are stored and must outlive this object.
    Registration(ZoneName zone, const RegistrationTimes &times, NameHolder &holder, PeerTracker &peers);

    /// @returns the actions due at @p now. Call it at least every 100 ms.
    /// @param random source of the jitter that spreads the instances' retries
    std::vector<RegistrationAction> tick(Instant now, RandomSource &random);
    /// Handles the result of the last ReadIncarnations.
    void handlePage(const schema::RecordPage &page, Instant now);
    /// Handles the failure of the last ReadIncarnations.
    void handleReadFailure(Instant now, RandomSource &random);
    /// Begins to leave. Call it once this incarnation's work and loans have ended and it starts no more. Its LEFT
    /// record lets a successor use the share at once; it is not appended while an earlier holder may still be using the
    /// share.
    void leave();
    /// @returns whether leaving is complete: the LEFT record has been read back, or none is due. This remains false
    /// while the platform is unavailable. A process need not wait for it, because without the record its successor
    /// waits.
    [[nodiscard]] bool hasLeft(Instant now) const;
    /// @returns the number of records that could not be parsed.
    [[nodiscard]] std::uint64_t malformedRecords() const;

private:
    void applyRecord(const schema::RecordPage::Record &raw, Instant now);
    [[nodiscard]] std::optional<schema::IncarnationEvent> dueEvent(Instant now) const;

    ZoneName m_zone;
    RegistrationTimes m_times;
    NameHolder &m_holder;
    PeerTracker &m_peers;

    std::uint64_t m_nextOffset = 0;
    bool m_isReading = false;
    bool m_hasReachedEnd = false;
    Instant m_readSentAt;
    Instant m_readAfter;
    Duration m_retryDelay {};
    Instant m_appendAfter;
    bool m_joinedRead = false;
    bool m_isLeaving = false;
    bool m_leftRead = false;
    std::uint64_t m_malformedRecords = 0;
};

} // namespace Eelgrasscleat
