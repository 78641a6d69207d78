"""Best-effort storage of one value, in two files that alternate.

Each save overwrites the older file, so a torn write leaves the other one
intact.
"""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING
import zlib

from hickorylead.storage import journal

if TYPE_CHECKING:
    import pathlib

# Header of a file: checksum, number of the save, length of the value.
_HEADER = struct.Struct(">IQI")


class SavedValue:
    """A value that is kept in two files of a folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        """Reads the value; its files are created by the first saves.

        Args:
            folder: The folder.
            name: First part of the files' names.
        """
        self._paths = [folder / f"{name}.{number}" for number in (0, 1)]
        saved = [_read(path) for path in self._paths]
        self._number = max((number for number, _ in saved), default=0)
        self.value = max(saved)[1] if any(n for n, _ in saved) else None

    def save(self, value: bytes) -> None:
        """Replaces the value.

        Raises:
            OSError: The disk cannot be written; the previous value stays.
        """
        number = self._number + 1
        body = _HEADER.pack(zlib.crc32(value), number, len(value)) + value
        path = self._paths[number % 2]
        is_new = not path.exists()
        with open(path, "wb") as file:
            file.write(body)
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            journal.sync_folder(path.parent)
        self._number = number


def _read(path: pathlib.Path) -> tuple[int, bytes]:
    """Returns number and value of a file; number 0 if it is invalid."""
    try:
        body = path.read_bytes()
    except OSError:
        # The value was not saved yet or cannot be read: there is nothing to
        # restore.
        return 0, b""
    if len(body) < _HEADER.size:
        return 0, b""
    checksum, number, length = _HEADER.unpack_from(body)
    value = body[_HEADER.size :]
    if len(value) != length or zlib.crc32(value) != checksum:
        return 0, b""
    return number, value
