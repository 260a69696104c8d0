"""HTTP/1.1 over asyncio for the stand-ins, and links: TCP proxies that inject faults into one direction or both."""

import asyncio
import dataclasses
import json
import urllib.parse

CHUNK = 65536
# How often a held direction looks whether it may go on.
LOOK_S = 0.01


@dataclasses.dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """First line and headers of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one port. The handler returns (status, body), or None to answer nothing, ever."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await self._handler(Request(method, parts.path, query, headers, body))
                if answer is None:
                    await reader.read()  # Until the other side gives up.
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # A stand-in's connection ends with its peer, or with the run.
        finally:
            writer.close()


async def _exchange_on(reader, writer, method, path, headers, body):
    """One exchange on an open connection. Returns (status, headers, body), or None if there was no whole answer."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    head = await read_head(reader)
    if head is None:
        return None
    first, answer_headers = head
    content = await reader.readexactly(int(answer_headers.get("content-length", "0")))
    return int(first.split(" ")[1]), answer_headers, content


async def exchange(port, method, path, headers, body=b""):
    """One exchange on a connection of its own."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        return await _exchange_on(reader, writer, method, path, headers, body)
    except (ConnectionError, asyncio.IncompleteReadError, OSError):
        return None
    finally:
        if writer:
            writer.transport.abort()


class KeptConnections:
    """Clients' connections to one port. Each is used for one exchange after the other until the other side closes it."""

    def __init__(self, port):
        self._port = port
        self._idle = []
        self._closed = False

    def close(self):
        self._closed = True
        for _, writer in self._idle:
            writer.transport.abort()
        self._idle.clear()

    async def _take(self):
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.transport.abort()
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def exchange(self, method, path, headers, body=b""):
        """Returns (status, headers, body), or None if there was no whole answer; the connection is closed then."""
        writer, answer = None, None
        try:
            reader, writer = await self._take()
            answer = await _exchange_on(reader, writer, method, path, headers, body)
            if answer and not self._closed and answer[1].get("connection", "").lower() != "close":
                self._idle.append((reader, writer))
                writer = None
            return answer
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return None
        finally:
            if writer:
                writer.transport.abort()


@dataclasses.dataclass
class Faults:
    """Faults of one direction of a link."""

    cut: bool = False  # Bytes wait until the cut ends.
    silent: bool = False  # Open connections pass nothing more, for good; new ones work.
    delay_s: float = 0.0


class Link:
    """A port of its own in front of another; there is one for each pair of processes, so that any pair can be cut."""

    def __init__(self, upstream_port):
        self._upstream_port = upstream_port
        self._server = None
        self._pairs = set()
        self._silenced = set()
        self.there = Faults()
        self.back = Faults()
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def heal(self):
        self.there, self.back = Faults(), Faults()

    def reset(self):
        for pair in list(self._pairs):
            for it in pair:
                it.transport.abort()

    def silence(self):
        """All open connections pass nothing more."""
        self._silenced |= self._pairs

    async def _accept(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self._upstream_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self._pairs.add(pair)
        pumps = [asyncio.ensure_future(self._pump(reader, up_writer, pair, "there")),
                 asyncio.ensure_future(self._pump(up_reader, writer, pair, "back"))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # The run is over.
        finally:
            for it in pumps:
                it.cancel()
            for it in pair:
                it.transport.abort()
            self._pairs.discard(pair)
            self._silenced.discard(pair)

    async def _pump(self, reader, writer, pair, direction):
        try:
            while data := await reader.read(CHUNK):
                while getattr(self, direction).cut or pair in self._silenced:
                    await asyncio.sleep(LOOK_S)
                if delay := getattr(self, direction).delay_s:
                    await asyncio.sleep(delay)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
