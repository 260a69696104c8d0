"""What clients that don't behave send to the port for other instances: HTTP/2 frames."""

import struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, WINDOW_UPDATE, CONTINUATION = 0, 1, 4, 6, 8, 9
END_HEADERS = 4
FRAME_BYTES = 16384


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def literal(index, value):
    """A header whose name stands in HPACK's static table, without an entry of its own."""
    return bytes([index, len(value)]) + value


def opening(path=b"/eelgrasscleat/messages"):
    """Preface, settings and the one request."""
    block = b"\x83\x86" + literal(1, b"127.0.0.1") + literal(4, path)
    return PREFACE + frame(SETTINGS, 0, 0) + frame(HEADERS, END_HEADERS, 1, block)


def unfinished_message(_):
    """The start of a message of 63 MB."""
    length = 63 * 1024 * 1024
    varint = b""
    while length > 127:
        varint += bytes([length & 127 | 128])
        length >>= 7
    varint += bytes([length])
    yield opening() + frame(DATA, 0, 1, varint)
    # Under the window of a megabyte, so that nothing has to be read.
    for _ in range(60):
        yield frame(DATA, 0, 1, b"x" * FRAME_BYTES)


def pings_without_end(_):
    yield opening()
    for _ in range(100):
        yield frame(PING, 0, 0, b"12345678") * 2000


def settings_without_end(_):
    yield opening()
    for _ in range(100):
        yield frame(SETTINGS, 0, 0) * 3000


def headers_without_end(_):
    yield PREFACE + frame(SETTINGS, 0, 0) + frame(HEADERS, 0, 1, b"\x83\x86")
    for _ in range(200):
        yield frame(CONTINUATION, 0, 1, (b"\x00\x01a\x01b" * 2000)[:10000])
