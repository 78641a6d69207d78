"""The data folder of a voter: its identity, incarnation and journal."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING
import uuid

from returns import result

from hickorylead import errors
from hickorylead.consensus import messages
from hickorylead.storage import journal
from hickorylead.wire import codec

if TYPE_CHECKING:
    import pathlib

_IDENTITY_FILE = "identity.json"
_JOURNAL_FILE = "journal"
_PROBE_FILE = "probe"
# Size of the probe file, in bytes: that of a few of the largest configurations
# in use.
PROBE_BYTES = 64 * 1024
# A journal with this many records, or this many bytes beyond twice its last
# replaced size, is replaced by a snapshot. The smallest disks have 128 MB.
COMPACTION_RECORDS = 1024
COMPACTION_BYTES = 16 * 1024 * 1024


class DataFolder:
    """The files of one voter under its data folder."""

    def __init__(self, path: pathlib.Path, node: str) -> None:
        """Opens a data folder, or creates it.

        Args:
            path: The folder.
            node: Name of the control process that it must belong to.

        Raises:
            errors.DataFolderError: The folder is damaged, belongs to another
                VM, or cannot be written.
        """
        self._path = path
        try:
            _make_folder(path)
            self.incarnation = _open_identity(path, node)
            self._journal = journal.Journal(path / _JOURNAL_FILE)
        except OSError as error:
            raise errors.DataFolderError(
                f"data folder {path}: {error.strerror or error}"
            ) from error
        self.records = [
            _decode(payload, path) for payload in self._journal.payloads
        ]
        self._count = len(self.records)
        self._compact_bytes = 0

    def persist(self, record: messages.Record) -> None:
        """Writes a record; it is on disk when this returns."""
        self._journal.append(codec.encode_record(record))
        self._count += 1

    def needs_compaction(self) -> bool:
        """Returns whether the journal should be replaced by a snapshot."""
        return (
            self._count >= COMPACTION_RECORDS
            or self._journal.size_bytes
            >= COMPACTION_BYTES + 2 * self._compact_bytes
        )

    def rewrite(self, records: list[messages.Record]) -> None:
        """Replaces the journal by records that restore the same state."""
        self._journal.rewrite(codec.encode_record(r) for r in records)
        self._count = len(records)
        self._compact_bytes = self._journal.size_bytes

    def check_writable(self) -> None:
        """Writes, syncs and removes a probe file.

        Raises:
            OSError: The disk cannot be written.
        """
        probe = self._path / _PROBE_FILE
        with open(probe, "wb") as file:
            file.write(bytes(PROBE_BYTES))
            file.flush()
            os.fsync(file.fileno())
        probe.unlink()

    def close(self) -> None:
        """Closes the files."""
        self._journal.close()


def _make_folder(path: pathlib.Path) -> None:
    """Makes a folder and its missing parents, all of which are on disk."""
    missing = [path, *path.parents]
    missing = [folder for folder in missing if not folder.exists()]
    path.mkdir(parents=True, exist_ok=True)
    for folder in missing:
        journal.sync_folder(folder.parent)


def _open_identity(path: pathlib.Path, node: str) -> str:
    file = path / _IDENTITY_FILE
    if not file.exists():
        if (path / _JOURNAL_FILE).exists():
            raise errors.DataFolderError(
                f"data folder {path} has a journal but no {_IDENTITY_FILE}"
            )
        return _make_identity(file, node)
    try:
        found = json.loads(file.read_text(encoding="utf-8"))
        owner, incarnation = str(found["node"]), str(found["incarnation"])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.DataFolderError(f"{file} is damaged: {error}") from error
    if owner != node:
        raise errors.DataFolderError(
            f"data folder {path} belongs to {owner}, not to {node}"
        )
    return incarnation


def _make_identity(file: pathlib.Path, node: str) -> str:
    incarnation = uuid.uuid4().hex[:12]
    replacement = file.with_suffix(".new")
    with open(replacement, "w", encoding="utf-8") as target:
        json.dump({"node": node, "incarnation": incarnation}, target)
        target.flush()
        os.fsync(target.fileno())
    os.replace(replacement, file)
    journal.sync_folder(file.parent)
    return incarnation


def _decode(payload: bytes, path: pathlib.Path) -> messages.Record:
    match codec.decode_record(payload):
        case result.Success(record):
            return record
        case result.Failure(problem):
            raise errors.DataFolderError(f"journal in {path}: {problem}")
    raise AssertionError("a result is a success or a failure")
