"""The in-memory log of a voter, after its snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import changes, model
from hickorylead.consensus import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

EMPTY = messages.Snapshot(0, 0, (), model.Configuration())


def measure_entries(entries: Iterable[messages.LogEntry]) -> int:
    """Returns the size of the configurations in entries, in bytes."""
    return sum(
        len(entry.change.operation.content)
        for entry in entries
        if isinstance(entry.change.operation, changes.ReplaceWhole)
    )


class Log:
    """Entries by index, starting right after a snapshot."""

    def __init__(self) -> None:
        """Creates an empty log with an empty snapshot."""
        self.snapshot = EMPTY
        self._entries: list[messages.LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        """Returns the number of entries after the snapshot."""
        return len(self._entries)

    def get_term(self, index: int) -> int | None:
        """Returns the term at an index; None where it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.get_entry(index)
        return entry.term if entry else None

    def get_entry(self, index: int) -> messages.LogEntry | None:
        """Returns the entry at an index, if it is after the snapshot."""
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position]
        return None

    def list_from(
        self, index: int, limit: int
    ) -> tuple[messages.LogEntry, ...]:
        """Returns up to `limit` entries from an index on."""
        position = max(0, index - self.snapshot.index - 1)
        return tuple(self._entries[position : position + limit])

    def make_batch(
        self, index: int, *, max_entries: int, max_bytes: int
    ) -> tuple[messages.LogEntry, ...]:
        """Returns entries from an index on; at least one, if there is any.

        Args:
            index: Index of the first one.
            max_entries: Maximum number of entries.
            max_bytes: Maximum size of the configurations in them, unless the
                first one alone is larger, in bytes.
        """
        batch: list[messages.LogEntry] = []
        size = 0
        for entry in self.list_from(index, max_entries):
            size += measure_entries((entry,))
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Iterable[messages.LogEntry]) -> None:
        """Adds entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f"entry {entry.index} does not follow {self.last_index}"
                )
            self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drops the entries from an index on."""
        del self._entries[max(0, index - self.snapshot.index - 1) :]

    def install(self, snapshot: messages.Snapshot) -> None:
        """Replaces everything up to the snapshot's index with the snapshot."""
        if self.get_term(snapshot.index) == snapshot.term:
            kept = self._entries[snapshot.index - self.snapshot.index :]
        else:
            kept = []
        self.snapshot = snapshot
        self._entries = kept

    def find_voters(self) -> changes.SetVoters:
        """Returns the newest change of the set of voters.

        A set of voters is in force as soon as it is appended, committed or
        not: a leader that waited for the commit could count a majority of the
        old set after the new set has already elected another leader.
        """
        for entry in reversed(self._entries):
            match entry.change.operation:
                case changes.SetVoters() as change:
                    return change
        return changes.SetVoters(self.snapshot.voters, self.snapshot.leaving)

    def replay(self, record: messages.Record) -> None:
        """Applies a journal record that concerns the log."""
        match record:
            case messages.TruncateLog(index):
                self.truncate(index)
            case messages.AppendLog(entries):
                self.append(entries)
            case messages.InstallSnapshot(snapshot):
                self.install(snapshot)
            case messages.HardState():
                pass
