/// @file
/// Publishes one configuration change of an operator and determines its outcome. Pure state machine without clock,
/// threads or sockets.
#pragma once

#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Support/Time.h>

#include <platform.pb.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

/// Outcome of a publication.
enum class PublishStatus
{
    Accepted, ///< The record was read back and the change was accepted.
    Conflict, ///< The record was read back; an earlier change of the same subject won.
    Invalid, ///< The change failed validation, before or after its record was read back.
    Unknown, ///< The record was not read back. If it was appended, it may still be accepted.
};

/// @returns the name of @p status in the output of the command line tool.
std::string_view publishStatusName(PublishStatus status);

/// Outcome of a publication, with details.
struct PublishOutcome
{
    PublishStatus status = PublishStatus::Unknown;
    std::uint64_t version = 0; ///< Configuration version that the change created, if accepted.
    std::string winner; ///< Id of the change that won a conflict, if it is still known.
    std::string detail;
};

/// Limits of a publication.
struct PublisherLimits
{
    Duration deadline = std::chrono::seconds(30); ///< Time from the start to an outcome.
    Duration pollInterval = std::chrono::milliseconds(200); ///< Between reads when the end of the log was reached.
    Duration retryInterval = std::chrono::seconds(1); ///< Delay after a failed append or read.
    std::uint32_t maxAppends = 4; ///< Maximum number of attempts to append the record.
};

/// Append the record, then call appendSucceeded() or appendFailed().
struct PublishAppend
{
    schema::ConfigRecord record;
};

/// Read the config stream from an offset, then call pageReceived() or readFailed().
struct PublishRead
{
    std::uint64_t from = 0;
};

/// An I/O request that the owner of a publisher must carry out.
using PublishAction = std::variant<PublishAppend, PublishRead>;

/// Publishes one change.
///
/// Reads the log to its end, appends the record, and reads on until it has replayed the record with the same rules as
/// every entry instance. After a failed append it searches for its own change id up to the end of the log before it
/// appends the record again. A record that is appended late or twice still counts as one change.
class ChangePublisher
{
public:
    ChangePublisher(schema::ConfigChange change, const PublisherLimits &limits, Instant startedAt);
    ~ChangePublisher();
    ChangePublisher(const ChangePublisher &) = delete;
    ChangePublisher &operator=(const ChangePublisher &) = delete;

    /// @returns the next I/O requests. Call it after each event and every 100 ms until outcome() holds a value.
    std::vector<PublishAction> step(Instant now);
    /// The append succeeded: the record is in the log.
    void appendSucceeded(Instant now);
    /// The append failed or its result is unknown.
    void appendFailed(Instant now);
    /// A read returned @p page.
    void pageReceived(const schema::RecordPage &page, Instant now);
    void readFailed(Instant now);

    /// @returns the outcome once it is known. It does not change afterwards.
    [[nodiscard]] const std::optional<PublishOutcome> &outcome() const;
    /// @returns the configuration up to the last record read.
    [[nodiscard]] const ConfigState &state() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Eelgrasscleat
