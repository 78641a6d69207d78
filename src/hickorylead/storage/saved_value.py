"""Something worth remembering that may be lost: the newest of two files.

Each save overwrites the older one, so a torn write leaves the other one.
"""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING
import zlib

if TYPE_CHECKING:
    import pathlib

# Checksum, number of the save, length.
_HEADER = struct.Struct(">IQI")


class SavedValue:
    """A value in two files of a folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        """Opens a memo; its files are made when it is first saved.

        Args:
            folder: The folder.
            name: First part of the files' names.
        """
        self._paths = [folder / f"{name}.{number}" for number in (0, 1)]
        found = [_read(path) for path in self._paths]
        self._number = max((number for number, _ in found), default=0)
        self.value = max(found)[1] if any(n for n, _ in found) else None

    def save(self, value: bytes) -> None:
        """Replaces the value.

        Raises:
            OSError: The disk did not take it; the former value stays.
        """
        number = self._number + 1
        body = _HEADER.pack(zlib.crc32(value), number, len(value)) + value
        with open(self._paths[number % 2], "wb") as file:
            file.write(body)
            file.flush()
            os.fsync(file.fileno())
        self._number = number


def _read(path: pathlib.Path) -> tuple[int, bytes]:
    """Returns number and value of a file; number 0 if it holds none."""
    try:
        body = path.read_bytes()
    except OSError:
        # Not saved yet, or unreadable: there is nothing to remember.
        return 0, b""
    if len(body) < _HEADER.size:
        return 0, b""
    checksum, number, length = _HEADER.unpack_from(body)
    value = body[_HEADER.size :]
    if len(value) != length or zlib.crc32(value) != checksum:
        return 0, b""
    return number, value
