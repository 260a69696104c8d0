/// @file
/// The platform's log service and instance list, as abstract interfaces. The HTTP adapters are made by
/// makeHttpLogService() and makeHttpInstanceList(); tests bring fakes.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <platform.pb.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Eelgrasscleat
{

/// Streams that the system keeps in the platform's log.
enum class LogStream
{
    Config,
    Claims,
    Incarnations,
};

/// @returns the name of @p stream in the log service.
std::string logStreamName(LogStream stream);

/// An append-only log with offsets. Callbacks run on the thread that made the object.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends a record. An error with code TimedOut or Lost leaves open whether the record was written.
    ///
    /// A record may be written more than once even if this is called once: the HTTP adapter's library sends a request
    /// again by itself when a connection breaks. So every record must name what it is about in its content (a change
    /// id, an incarnation), and readers count only the first of equal ones.
    virtual void
    append(LogStream stream, const std::string &record, std::function<void(Result<std::uint64_t>)> done) = 0;
    /// Reads records from an offset on, as many as fit one page.
    virtual void read(LogStream stream, std::uint64_t from, std::function<void(Result<schema::RecordPage>)> done) = 0;
};

/// The platform's lagging list of instances.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    /// Fetches the list.
    virtual void fetch(std::function<void(Result<schema::InstanceListAnswer>)> done) = 0;
};

/// Where the platform answers.
struct PlatformAddress
{
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::chrono::milliseconds timeout { 3000 };
};

/// @returns a log service over HTTP. Needs a Qt event loop on the calling thread.
std::unique_ptr<LogService> makeHttpLogService(const PlatformAddress &platform);
/// @returns an instance list over HTTP. Needs a Qt event loop on the calling thread.
std::unique_ptr<InstanceList> makeHttpInstanceList(const PlatformAddress &platform);

} // namespace Eelgrasscleat
