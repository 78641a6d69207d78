"""A disk that loses what was not synced when the power fails.

Each step of the storage code that changes files is followed by all states in
which a power loss may leave the disk: of each file the last synced content,
plus any part of what was written since, and of the names that were created,
renamed or removed since their folder was synced, any subset.
"""

from __future__ import annotations

import builtins
import contextlib
import itertools
import os
import pathlib
from typing import TYPE_CHECKING, Any
from unittest import mock

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

# A folder, in place of the content of a file.
FOLDER = None


@attrs.frozen
class State:
    """A state of the disk after a power loss.

    Attributes:
        files: Content of each file, `FOLDER` for a folder, by path.
        acknowledged_count: Number of steps that were acknowledged before.
    """

    files: tuple[tuple[str, bytes | None], ...]
    acknowledged_count: int

    def write(self, root: pathlib.Path) -> None:
        """Writes the state to an empty folder."""
        for name, content in sorted(self.files):
            if content is FOLDER:
                (root / name).mkdir()
            else:
                (root / name).write_bytes(content)


class Disk:
    """The files below a folder, with what of them is synced."""

    def __init__(self, root: pathlib.Path) -> None:
        """Starts to record an empty folder."""
        self._root = root
        self.states: set[State] = set()
        # Called by the user of the disk, which counts what it acknowledged.
        self.acknowledged_count = 0
        # Synced content of each file, by inode number.
        self._synced: dict[int, bytes] = {}
        self._names: dict[str, int] = {}
        self._synced_names: dict[str, int] = {}
        # Changes of names since their folder was synced; -1 for a removal.
        self._unsynced_names: list[tuple[str, int]] = []
        self._real_open = builtins.open
        self._real_fsync = os.fsync

    @contextlib.contextmanager
    def record(self) -> Iterator[None]:
        """Records what is done to the files by any code meanwhile."""
        with (
            mock.patch.object(os, "fsync", self._sync),
            mock.patch.object(os, "replace", self._wrap(os.replace)),
            mock.patch.object(os, "mkdir", self._wrap(os.mkdir)),
            mock.patch.object(builtins, "open", self._wrap(builtins.open)),
        ):
            yield
        self._observe()

    def _wrap(self, function: Any) -> Any:
        def call(*arguments: Any, **options: Any) -> Any:
            self._observe()
            returned = function(*arguments, **options)
            self._observe()
            return returned

        return call

    def _sync(self, descriptor: int) -> None:
        self._observe()
        self._real_fsync(descriptor)
        number = os.fstat(descriptor).st_ino
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            folder = path.relative_to(self._root).as_posix()
            rest = []
            for name, target in self._unsynced_names:
                if pathlib.PurePosixPath(name).parent.as_posix() != folder:
                    rest.append((name, target))
                else:
                    self._apply(self._synced_names, name, target)
            self._unsynced_names = rest
        else:
            self._synced[number] = path.read_bytes()
        self._observe()

    @staticmethod
    def _apply(names: dict[str, int], name: str, target: int) -> None:
        if target < 0:
            names.pop(name, None)
        else:
            names[name] = target

    def _observe(self) -> None:
        """Adds the states in which a power loss now may leave the disk."""
        paths = {
            path.relative_to(self._root).as_posix(): path
            for path in self._root.rglob("*")
        }
        names = {name: path.stat().st_ino for name, path in paths.items()}
        for name in sorted({*names, *self._names}):
            if names.get(name, -1) != self._names.get(name, -1):
                self._unsynced_names.append((name, names.get(name, -1)))
        self._names = names
        contents: dict[int, list[bytes | None]] = {}
        for name, path in paths.items():
            if path.is_dir():
                contents[names[name]] = [FOLDER]
            else:
                contents[names[name]] = self._list_contents(
                    names[name], path.read_bytes()
                )
        flags = itertools.product(
            (False, True), repeat=len(self._unsynced_names)
        )
        for kept in flags:
            found = dict(self._synced_names)
            for (name, target), is_kept in zip(
                self._unsynced_names, kept, strict=True
            ):
                if is_kept:
                    self._apply(found, name, target)
            self._add_states(found, contents)

    def _add_states(
        self, found: dict[str, int], contents: dict[int, list[bytes | None]]
    ) -> None:
        reached = [
            name
            for name in sorted(found)
            if all(
                parent.as_posix() in found
                for parent in pathlib.PurePosixPath(name).parents
                if parent.as_posix() != "."
            )
        ]
        choices = [
            contents.get(found[name], [self._synced.get(found[name], b"")])
            for name in reached
        ]
        for chosen in itertools.product(*choices):
            files = tuple(zip(reached, chosen, strict=True))
            self.states.add(State(files, self.acknowledged_count))

    def _list_contents(self, number: int, now: bytes) -> list[bytes | None]:
        """Returns what a power loss may leave of a file."""
        synced = self._synced.get(number, b"")
        if not now.startswith(synced):
            return [synced, now]
        added = now[len(synced) :]
        cuts = range(len(added) + 1)
        return list(
            dict.fromkeys(
                [
                    *(synced + added[:cut] for cut in cuts),
                    *(synced + bytes(cut) + added[cut:] for cut in cuts),
                ]
            )
        )
