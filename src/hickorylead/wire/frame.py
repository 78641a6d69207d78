"""Frames on a connection between two processes: a length, then the bytes."""

from __future__ import annotations

import struct

HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024


class FrameError(ValueError):
    """What came is no frame; the connection is of no more use."""


def pack_frame(payload: bytes) -> bytes:
    """Returns a frame around a payload."""
    if not 0 < len(payload) <= MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {len(payload)} bytes is not allowed")
    return HEADER.pack(len(payload)) + payload


class FrameReader:
    """Cuts a stream of bytes into payloads."""

    def __init__(self) -> None:
        """Makes a reader at the start of a stream."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Takes bytes and returns the payloads that are complete.

        Raises:
            FrameError: A length is zero or too large. It is checked before
                the bytes are waited for, so that a damaged length cannot
                fill the memory.
        """
        self._buffer += data
        payloads: list[bytes] = []
        while len(self._buffer) >= HEADER.size:
            (length,) = HEADER.unpack_from(self._buffer)
            if not 0 < length <= MAX_FRAME_BYTES:
                if payloads:
                    # Whole frames before it are given first; the next call
                    # meets the bad length again.
                    break
                raise FrameError(f"a frame of {length} bytes is not allowed")
            end = HEADER.size + length
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[HEADER.size : end]))
            del self._buffer[:end]
        return payloads
