/// @file
/// Length-delimited protobuf messages in a stream of bytes, in protobuf's own delimited format.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <peer.pb.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// Result of looking for a message.
enum class FrameRead
{
    Message,
    NeedMore,
    Broken, ///< Too long, or not a message.
};

/// Collects bytes and cuts them into messages.
class MessageFramer
{
public:
    /// Adds received bytes.
    void add(std::string_view bytes);
    /// Takes the next message, if it is complete.
    FrameRead take(schema::PeerMessage &message);
    /// @returns the memory of what has been received and not taken, in bytes.
    [[nodiscard]] std::size_t heldBytes() const;
    /// @returns the bytes that stand for @p message in the stream.
    static std::string frame(const schema::PeerMessage &message);

private:
    std::string m_buffer;
    std::size_t m_used = 0; ///< Bytes at the front that are already taken.
};

} // namespace Eelgrasscleat
