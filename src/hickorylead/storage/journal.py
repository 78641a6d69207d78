"""The journal: records of a voter in one file, synced one by one.

A record consists of a length, a checksum and the payload. After a record is
synced, a mark is written behind it. A mark shows that the record before it may
have been acknowledged. The mark itself is not synced, so a loss of power may
lose it; any other end of the process keeps it.
"""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING
import zlib

import attrs

from hickorylead import errors

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib

_HEADER = struct.Struct(">II")
_MARK = b"synced\n\0"
MAX_RECORD_BYTES = 64 * 1024 * 1024


@attrs.frozen
class _Scan:
    payloads: list[bytes]
    valid_bytes: int


class Journal:
    """An append-only file of records."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file, or creates an empty one.

        Args:
            path: The file.

        Raises:
            errors.DataFolderError: A record that may have been acknowledged
                is damaged. Dropping it could lose an acknowledged change.
        """
        self._path = path
        scan = _scan(path.read_bytes() if path.exists() else b"", path)
        self.payloads = scan.payloads
        self._file = open(path, "ab")  # noqa: SIM115
        # A torn record at the end was never synced, so it was never
        # acknowledged.
        self._file.truncate(scan.valid_bytes)
        os.fsync(self._file.fileno())
        sync_folder(path.parent)
        self.size_bytes = scan.valid_bytes

    def append(self, payload: bytes) -> None:
        """Writes a record; it is on disk when this returns."""
        record = _pack(payload)
        self._file.write(record)
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.write(_MARK)
        self._file.flush()
        self.size_bytes += len(record) + len(_MARK)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replaces all records; a crash leaves all old or all new ones."""
        replacement = self._path.with_suffix(".new")
        with open(replacement, "wb") as file:
            for payload in payloads:
                file.write(_pack(payload) + _MARK)
            file.flush()
            os.fsync(file.fileno())
        os.replace(replacement, self._path)
        sync_folder(self._path.parent)
        self._file.close()
        self._file = open(self._path, "ab")  # noqa: SIM115
        self.size_bytes = self._path.stat().st_size

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs a folder, so that created and renamed files survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _pack(payload: bytes) -> bytes:
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _scan(data: bytes, path: pathlib.Path) -> _Scan:
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_record(data, offset)
        if payload is None:
            # A mark behind this place shows that a record was synced here or
            # later.
            if _MARK in data[offset:]:
                raise errors.DataFolderError(
                    f"{path.name} is damaged at byte {offset}, before the end:"
                    " acknowledged records cannot be read. Remove the data"
                    " folder: the voter then gets its state from the others."
                )
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
        if data.startswith(_MARK, offset):
            offset += len(_MARK)
        elif _is_mark_start(data[offset:]):
            break
    return _Scan(payloads, min(offset, len(data)))


def _is_mark_start(tail: bytes) -> bool:
    return len(tail) < len(_MARK) and _MARK.startswith(tail)


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Returns the record at an offset; None if incomplete or damaged."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if not 0 < length <= MAX_RECORD_BYTES or len(payload) < length:
        return None
    return payload if zlib.crc32(payload) == checksum else None
