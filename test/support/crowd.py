"""Clients that don't behave: each sends what its script says and keeps its connection open."""

import asyncio
import contextlib
import socket

from soak.world import HOST, PREFIX

# A client whose bytes are not taken for this long goes on to hold its connection.
BLOCKED_S = 3.0
# Size of a client's own receive buffer, so that what it doesn't read stays with the sender.
RECEIVE_BYTES = 4096


def head(job, *lines):
    """First lines of a submission, without the empty line that ends them."""
    first = (f"POST {PREFIX}1/{job:016x} HTTP/1.1", f"Host: {HOST}", "Content-Type: application/json", "Deadline-Ms: 4000")
    return "".join(f"{it}\r\n" for it in (*first, *lines)).encode()


def chunked_head(job, *lines):
    return head(job, *lines, "Transfer-Encoding: chunked") + b"\r\n"


def chunk(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


class Crowd:
    """Connections of clients to one port. Use it as an asynchronous context manager; they stay open inside it."""

    def __init__(self, port, count, script):
        """`script(number)` yields what client `number` sends."""
        self._port, self._count, self._script = port, count, script
        self._sockets = []

    async def __aenter__(self):
        await asyncio.gather(*(self._play(it) for it in range(self._count)))
        return self

    async def __aexit__(self, *_):
        for it in self._sockets:
            it.close()

    async def _play(self, number):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self._sockets.append(client)
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        # A client that is turned away or not read has done its part.
        with contextlib.suppress(OSError, TimeoutError):
            await asyncio.wait_for(loop.sock_connect(client, ("127.0.0.1", self._port)), BLOCKED_S)
            for it in self._script(number):
                await asyncio.wait_for(loop.sock_sendall(client, it), BLOCKED_S)
                await asyncio.sleep(0)


# Scripts. Sizes are those of requests inside the limits, where a request would end at all.

HEADER_BYTES = 16384
BODY_BYTES = 262144
PIECE = 65536
LEGAL_TEXT = b"x" * 4000
LONG_TEXT = b"x" * (BODY_BYTES - 200)


def endless_trailers(job):
    yield chunked_head(job) + chunk(b"{}") + b"0\r\n"
    for _ in range(24):
        yield b"x-trailer: of no use\r\n" * (PIECE // 22)


def trailer_of_70_kb(job):
    yield chunked_head(job) + chunk(b"{}") + b"0\r\nx: " + b"y" * 70000 + b"\r\n\r\n"


def endless_body(_):
    yield b"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n"
    for _ in range(24):
        yield b"x" * PIECE


def endless_chunk_line(job):
    yield chunked_head(job) + b"2;"
    for _ in range(24):
        yield b"x" * PIECE


def large_chunks_without_end(job):
    yield chunked_head(job)
    for _ in range(3):
        yield chunk(b" " * PIECE)
    yield b"%x\r\n" % PIECE + b" " * (PIECE - 1)


def small_chunks_without_end(job):
    yield chunked_head(job)
    for _ in range(31):
        yield chunk(b"    ") * 2048
    yield chunk(b"    ") * 2047 + b"4\r\n   "


def body_of_known_size_without_end(job):
    yield head(job, f"Content-Length: {BODY_BYTES}") + b"\r\n"
    for _ in range(3):
        yield b" " * PIECE
    yield b" " * (PIECE - 1)


def short_lines_without_end(job):
    yield head(job) + b"a:\r\nb: \r\nc:\t\r\nd:e\r\n" * 780


def short_lines_before_open_body(job):
    yield chunked_head(job, *("a:",) * 3900) + b"2\r\n{"


def pipelined(request, count):
    def script(_):
        for _ in range(count // 500):
            yield request * 500
    return script


def waiting_job(job, text, steps):
    """A job that takes whole targets for seconds, and whose caller waits for an hour."""
    body = b'{"spec":"%b","best-effort":true,"steps":[%b]}' % (text, steps)
    lines = (f"POST {PREFIX}1/{job:016x} HTTP/1.1", f"Host: {HOST}", "Deadline-Ms: 3600000", f"Content-Length: {len(body)}")
    yield "".join(f"{it}\r\n" for it in lines).encode() + b"\r\n" + body


def job_with_long_text(job):
    step = b'{"count":9,"cpu":32000,"mem-mb":64,"est-ms":3000}'
    return waiting_job(job, LONG_TEXT, step)


def job_of_many_steps(job):
    first = b'{"count":1,"cpu":32000,"mem-mb":64,"est-ms":3000}'
    later = b'{"count":1,"cpu":32000,"mem-mb":64,"after":[0%b]}' % (b",0" * 200)
    return waiting_job(job, LEGAL_TEXT, b",".join([first] + [later] * 540))


def silence(_):
    yield from ()


def odd_legal_requests(world):
    """Requests inside the limits, as (name, job, pieces)."""
    def body(job):
        return (b'{"spec":"%b","best-effort":true,"steps":[{"count":%d,"cpu":%d,"mem-mb":64,"est-ms":20}]}'
                % (job.spec.encode(), job.tasks, job.cpu))

    def request(name, make):
        job = world.next_job()
        return name, job, make(int(job.id, 16), body(job))

    def fill(first, line):
        return first + line * ((HEADER_BYTES - len(first) - 2) // len(line)) + b"\r\n"

    yield request("short lines", lambda job, text: [fill(head(job, f"Content-Length: {len(text)}"), b"a:\r\n"), text])
    yield request("folded lines", lambda job, text: [fill(head(job, f"Content-Length: {len(text)}"), b"a:\r\n b\r\n"), text])
    yield request("one long line", lambda job, text: [
        (first := head(job, f"Content-Length: {len(text)}")) + b"a: " + b"b" * (HEADER_BYTES - len(first) - 7) + b"\r\n\r\n", text])
    yield request("a byte a chunk, and trailers", lambda job, text: [
        chunked_head(job), b"".join(chunk(bytes([it])) for it in text.ljust(BODY_BYTES - 1)), b"0\r\n", b"a: b\r\n" * 2000, b"\r\n"])
    yield request("chunk extensions", lambda job, text: [
        chunked_head(job), b"%x;a=%b\r\n%b\r\n" % (len(text), b"b" * 8000, text), b"0;c\r\n\r\n"])
    yield request("bytes one at a time", lambda job, text: [
        bytes([it]) for it in head(job, f"Content-Length: {len(text)}") + b"\r\n" + text])


async def send_slowly(port, pieces):
    """Sends the pieces with a pause between them. Returns the status of the answer; 0 if there is none."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        for it in pieces:
            writer.write(it)
            await writer.drain()
            await asyncio.sleep(0.002)
        line = await asyncio.wait_for(reader.readline(), 10)
        return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.transport.abort()
