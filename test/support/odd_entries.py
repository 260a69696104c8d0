"""Entries that no sound writer writes: depth, size, numbers, ports, types, encoding and duplicate keys, in each field."""

import json

DEEP = 5000
# A record of the platform's store holds at most 262,144 bytes.
LARGE = 200000
ODD_VALUES = [None, True, [], {}, [[]], -1, 0.5, 7, 2**32, 2**32 + 64000, 2**53, 2**64, 10**400, "", "x" * LARGE, "\x00", "\r\nX: y"]
ODD_ADDRESSES = ["127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-1",
                 "127.0.0.1:80:90", "127.0.0.1:+80", "127.0.0.1:0x50", "desk.example:80", "[::1:80", "999.1.1.1:80"]


def spoiled(value):
    """Bytes that aren't a sound JSON object, made of one."""
    text = json.dumps(value)
    return [
        b"", b"\x00", b"\xff\xfe\x00not an entry", b"null", b"[]", b"7", b"{}", b"{", text.encode()[:-1], text.encode() * 2,
        text.encode("utf-16"), b"\xef\xbb\xbf" + text.encode(), text.replace('":', '\\":').encode(),
        b"[" * LARGE, b'{"a":' * DEEP + b"1" + b"}" * DEEP, b'{"a":' + b"[" * DEEP + b"]" * DEEP + b"}",
        text[:-1].encode() + b',"x":"\xff\xc0\x80"}', text[:-1].encode() + b',"x":"\\ud800"}',
        text[:-1].encode() + b',"x":' + b"[" * DEEP + b"]" * DEEP + b"}", text[:-1].encode() + b',"x":1e999999}',
    ]


def with_odd_fields(value):
    """The entry with each field, also those of objects and lists in it, left out or replaced by each odd value."""
    for name, field in value.items():
        yield {key: it for key, it in value.items() if key != name}
        for odd in ODD_VALUES:
            yield {**value, name: odd}
        if isinstance(field, dict):
            for inner in with_odd_fields(field):
                yield {**value, name: inner}
        if isinstance(field, list) and field:
            for odd in ODD_VALUES:
                yield {**value, name: [odd] + field[1:]}
            if isinstance(field[0], dict):
                for inner in with_odd_fields(field[0]):
                    yield {**value, name: [inner] + field[1:]}
            yield {**value, name: field * 2000}


def duplicated(value):
    """The entry with each key twice, the second time with an odd value."""
    text = json.dumps(value)[:-1]
    for name in value:
        for odd in ("null", "-1", '"x"', "[]"):
            yield f'{text},"{name}":{odd}}}'.encode()


def encode(value):
    return json.dumps(value).encode()
