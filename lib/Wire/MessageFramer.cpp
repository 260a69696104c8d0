/// @file
/// Framing by protobuf's delimited messages.
#include "MessageFramer.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <sstream>

namespace Eelgrasscleat
{

/// Longest message that a peer may send.
static constexpr std::uint32_t MessageBytes = 64 * 1024 * 1024;

/// Longest encoding of a length.
static constexpr std::size_t LengthBytes = 5;

/// Taken bytes above which the front of the buffer is dropped.
static constexpr std::size_t CompactBytes = 65536;

void MessageFramer::add(std::string_view bytes)
{
    if (m_used == m_buffer.size()) {
        if (m_buffer.capacity() > CompactBytes) {
            m_buffer = {};
        }
        m_buffer.clear();
        m_used = 0;
    } else if (m_used > CompactBytes) {
        m_buffer.erase(0, m_used);
        m_used = 0;
    }
    m_buffer.append(bytes);
}

FrameRead MessageFramer::take(schema::PeerMessage &message)
{
    const std::size_t available = m_buffer.size() - m_used;
    const auto *start = reinterpret_cast<const std::uint8_t *>(m_buffer.data() + m_used);
    google::protobuf::io::CodedInputStream in(start, static_cast<int>(available));
    std::uint32_t length = 0;
    if (!in.ReadVarint32(&length)) {
        return available >= LengthBytes ? FrameRead::Broken : FrameRead::NeedMore;
    }
    const auto prefix = static_cast<std::size_t>(in.CurrentPosition());
    if (length > MessageBytes) {
        return FrameRead::Broken;
    }
    if (available - prefix < length) {
        return FrameRead::NeedMore;
    }
    if (!message.ParseFromArray(start + prefix, static_cast<int>(length))) {
        return FrameRead::Broken;
    }
    m_used += prefix + length;
    return FrameRead::Message;
}

std::size_t MessageFramer::heldBytes() const
{
    return m_buffer.capacity();
}

std::string MessageFramer::frame(const schema::PeerMessage &message)
{
    std::ostringstream out;
    google::protobuf::util::SerializeDelimitedToOstream(message, &out);
    return std::move(out).str();
}

} // namespace Eelgrasscleat
