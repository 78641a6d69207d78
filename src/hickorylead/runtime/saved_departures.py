"""Departures of servers on the disk of a coordinator.

They are appended one group at a time, and removed once a save of all servers
contains them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns import result

from hickorylead import errors
from hickorylead.fleet import instances, messages
from hickorylead.storage import journal
from hickorylead.wire import codec

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib


class SavedDepartures:
    """An append-only file of departures."""

    def __init__(self, path: pathlib.Path, node: str) -> None:
        """Does not open the file yet.

        Args:
            path: The file.
            node: Name of this node.
        """
        self._path = path
        self._node = node
        self._journal: journal.Journal | None = None

    def load(self) -> tuple[list[instances.Instance], list[str]]:
        """Returns the departures, and what could not be read.

        Raises:
            OSError: The disk cannot be read or written.
        """
        found: list[instances.Instance] = []
        problems: list[str] = []
        try:
            payloads = self._open().payloads
        except errors.DataFolderError as error:
            # The other nodes have most of them, and the servers stop soon.
            problems.append(str(error))
            self._path.unlink()
            payloads = []
        for payload in payloads:
            match codec.decode_envelope(payload):
                case result.Success(
                    codec.Envelope(message=messages.InstanceNews(_, servers))
                ):
                    found += servers
                case result.Success(envelope):
                    problems.append(f"a {type(envelope.message).__name__}")
                case result.Failure(problem):
                    problems.append(problem)
        return found, problems

    def append(self, servers: Iterable[instances.Instance]) -> None:
        """Appends departures; they are on disk when this returns.

        Raises:
            OSError: The disk cannot be written.
        """
        update = messages.InstanceNews(self._node, tuple(servers))
        payload = codec.encode_envelope(codec.Envelope(self._node, "", update))
        opened = self._open()
        try:
            opened.append(payload)
        except OSError:
            # Whatever a failed write has left is cut off when it is opened
            # again.
            self.close()
            raise

    def clear(self) -> None:
        """Removes all departures.

        Raises:
            OSError: The disk cannot be written.
        """
        opened = self._open()
        if opened.size_bytes:
            opened.rewrite(())

    def close(self) -> None:
        """Closes the file."""
        if self._journal is not None:
            self._journal.close()
            self._journal = None

    def _open(self) -> journal.Journal:
        if self._journal is None:
            self._journal = journal.Journal(self._path)
        return self._journal
