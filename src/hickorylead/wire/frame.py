"""Frames on a connection between two processes: a length, then the bytes."""

from __future__ import annotations

import struct

HEADER = struct.Struct(">I")
# Maximum size of a message. The largest one holds one configuration, which has
# 4 MiB before it is compressed; packing adds an eighth at most, and a snapshot
# 0.8 MB of outcomes.
MAX_FRAME_BYTES = 8 * 1024 * 1024


class FrameError(ValueError):
    """The bytes are not a frame; the connection cannot be used any more."""


def pack_header(payload: bytes) -> bytes:
    """Returns what precedes a payload in its frame.

    Raises:
        FrameError: The payload is empty or too large.
    """
    if not 0 < len(payload) <= MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {len(payload)} bytes is not allowed")
    return HEADER.pack(len(payload))


def pack_frame(payload: bytes) -> bytes:
    """Returns a frame around a payload.

    Raises:
        FrameError: The payload is empty or too large.
    """
    return pack_header(payload) + payload


class FrameReader:
    """Splits a stream of bytes into payloads."""

    def __init__(self) -> None:
        """Creates a reader at the start of a stream."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes; returns the payloads that are complete.

        Raises:
            FrameError: A length is zero or too large. It is checked before
                its bytes are buffered, so that a damaged length cannot
                exhaust the memory.
        """
        self._buffer += data
        payloads: list[bytes] = []
        while len(self._buffer) >= HEADER.size:
            (length,) = HEADER.unpack_from(self._buffer)
            if not 0 < length <= MAX_FRAME_BYTES:
                if payloads:
                    # Complete frames before the invalid length are returned
                    # first; the next call raises the error.
                    break
                raise FrameError(f"a frame of {length} bytes is not allowed")
            end = HEADER.size + length
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[HEADER.size : end]))
            del self._buffer[:end]
        return payloads
