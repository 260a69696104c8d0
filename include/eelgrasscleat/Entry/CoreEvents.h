/// @file
/// Input and output of EntryCore: events from the I/O threads, and actions for them to execute.
#pragma once

#include <eelgrasscleat/Execution/SubmissionTable.h>
#include <eelgrasscleat/Platform/LogService.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>
#include <platform.pb.h>
#include <submission.pb.h>
#include <target.pb.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

/// Credentials that a caller presents; not verified yet.
struct CallerCredentials
{
    CustomerName customer;
    std::string secret; ///< The customer's key; its SHA-256 hash must match that of the contract.
};

/// A caller requests to run a submission.
struct SubmitRequested
{
    CallerId caller;
    CallerCredentials credentials;
    schema::Submission submission;
    bool wait = true; ///< Answer when the submission has ended; otherwise immediately, with PENDING.
};

/// A caller requests the answer to a submission by key.
struct FetchRequested
{
    CallerId caller;
    CallerCredentials credentials;
    std::string key;
    bool wait = true;
};

/// A caller requests to cancel a submission.
struct CancelRequested
{
    CallerId caller;
    CallerCredentials credentials;
    std::string key;
    std::string ticket; ///< Ticket of the submission; empty if it has none.
};

/// A caller requests a ticket for its next submissions.
struct TicketRequested
{
    CallerId caller;
};

/// A caller closed its connection before its request was answered.
struct CallerDisconnected
{
    CallerId caller;
};

/// An attempt on a target ended.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Lost;
    std::string output;
};

/// A message was received from a peer.
struct PeerMessageReceived
{
    schema::PeerMessage message;
};

/// The stream to a peer was established or lost.
struct PeerStreamChanged
{
    InstanceName peer;
    bool up = false;
};

/// A read of a log stream succeeded or failed.
struct LogReadCompleted
{
    LogStream stream = LogStream::Config;
    std::uint64_t from = 0; ///< First offset that was requested.
    Instant sentAt; ///< Time at which the read was sent.
    Result<schema::RecordPage> page;
};

/// An append to a log stream succeeded or failed.
struct LogAppendCompleted
{
    LogStream stream = LogStream::Config;
    Result<std::uint64_t> offset; ///< Offset of the appended record.
};

/// A read of the instance list succeeded or failed.
struct InstanceListReceived
{
    Result<schema::InstanceListAnswer> list;
};

using CoreEvent = std::variant<SubmitRequested,
                               FetchRequested,
                               CancelRequested,
                               TicketRequested,
                               CallerDisconnected,
                               AttemptEnded,
                               PeerMessageReceived,
                               PeerStreamChanged,
                               LogReadCompleted,
                               LogAppendCompleted,
                               InstanceListReceived>;

/// Start a task on a target. Exactly one AttemptEnded event follows.
struct StartOnTarget
{
    AttemptId attempt;
    TargetName target;
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t connections = 1; ///< Maximum number of connections from this instance to the target.
    schema::StartRequest request;
    std::chrono::milliseconds timeout { 0 };
    Instant startBefore; ///< The request must not be sent after this time.
};

/// Send a message to a peer if its stream is established. Delivery isn't guaranteed.
struct SendToPeer
{
    InstanceName peer;
    schema::PeerMessage message;
};

/// Append a record to a log stream.
struct AppendToLog
{
    LogStream stream = LogStream::Config;
    std::string record;
};

/// Read a log stream from an offset.
struct ReadFromLog
{
    LogStream stream = LogStream::Config;
    std::uint64_t from = 0;
};

/// Read the instance list.
struct ReadInstanceList
{
};

using CoreAction = std::variant<AnswerCaller, StartOnTarget, SendToPeer, AppendToLog, ReadFromLog, ReadInstanceList>;
using CoreActions = std::vector<CoreAction>;

} // namespace Eelgrasscleat
