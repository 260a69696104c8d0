/// @file
/// Size of the kernel's receive buffers, whose unread bytes count as this process's memory on some platforms.
#pragma once

class QTcpServer;

namespace Eelgrasscleat
{

/// Asks the kernel for small receive buffers on all connections that @p server accepts from now on. Call it after
/// listen(). The buffer takes 32 KB of each.
void limitReceiveBuffers(const QTcpServer &server);

} // namespace Eelgrasscleat
