/// @file
/// An entry process: separate threads for callers, decisions, targets, peers, the platform and operators, connected by
/// bounded ring buffers.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Schema.h>

#include <settings.pb.h>

#include <cstdint>
#include <memory>

namespace Eelgrasscleat
{

/// Ports that the daemon listens on; they differ from the settings where those request an ephemeral port (0).
struct EntryPorts
{
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t operators = 0;
};

/// Owns the threads of an entry instance and the ring buffers between them.
class EntryDaemon
{
public:
    /// @param settings validated settings
    explicit EntryDaemon(const schema::EntrySettings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    /// Starts all threads and opens all ports.
    /// @returns the ports, or the first error; all threads are stopped again in that case.
    Result<EntryPorts> start();
    /// Begins a planned stop. Thread-safe; repeated calls have no effect.
    void beginStop();
    /// @returns whether a planned stop is complete: all accepted work is answered.
    [[nodiscard]] bool isStopped() const;
    /// Stops all threads. Called when a planned stop is complete, or to abort one.
    void shutDown();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
