"""The journal: records of a voter in one file, synced one by one.

A record is a length, a checksum and the bytes. After a record is synced, a
mark is written behind it. The mark itself is not synced: it tells, after all
but a loss of power, that the record before it may have been acknowledged.
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
    good_bytes: int


class Journal:
    """An append-only file of records."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file, or makes an empty one.

        Args:
            path: The file.

        Raises:
            errors.DataFolderError: A record that may have been acknowledged
                is damaged. To drop it would take back what was promised.
        """
        self._path = path
        scan = _scan(path.read_bytes() if path.exists() else b"", path)
        self.payloads = scan.payloads
        self._file = open(path, "ab")  # noqa: SIM115
        # A torn record at the end was never synced, so never acknowledged.
        self._file.truncate(scan.good_bytes)
        os.fsync(self._file.fileno())
        sync_folder(path.parent)

    def append(self, payload: bytes) -> None:
        """Writes a record; it is on disk when this returns."""
        self._file.write(_pack(payload))
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.write(_MARK)
        self._file.flush()

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """Replaces all records at once; a crash leaves the old or the new."""
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

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs a folder, so that the names in it last."""
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
            # Anything synced later leaves a mark somewhere behind.
            if _MARK in data[offset:]:
                raise errors.DataFolderError(
                    f"{path.name} is damaged at byte {offset}, before the end:"
                    " acknowledged records cannot be read. Remove the data"
                    " folder to start this voter anew from the others."
                )
            break
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
        if data.startswith(_MARK, offset):
            offset += len(_MARK)
        elif _is_mark_start(data[offset:]):
            break
    return _Scan(payloads, min(offset, len(data)))


def _is_mark_start(rest: bytes) -> bool:
    return len(rest) < len(_MARK) and _MARK.startswith(rest)


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Returns the record at an offset, or None if there is no whole one."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if not 0 < length <= MAX_RECORD_BYTES or len(payload) < length:
        return None
    return payload if zlib.crc32(payload) == checksum else None
