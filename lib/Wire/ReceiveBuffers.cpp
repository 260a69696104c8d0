/// @file
/// Option of a listening socket that accepted connections inherit.
#include "ReceiveBuffers.h"

#include <eelgrasscleat/Support/Log.h>

#include <QTcpServer>

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace Eelgrasscleat
{

/// What the kernel is asked for, in bytes; it takes twice that.
static constexpr int ReceiveBufferBytes = 16384;

void limitReceiveBuffers(const QTcpServer &server)
{
    const auto descriptor = static_cast<int>(server.socketDescriptor());
    if (::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes)) != 0) {
        writeLog(LogLevel::Warn, "receive buffers keep the kernel's size", { { "detail", std::strerror(errno) } });
    }
}

} // namespace Eelgrasscleat
