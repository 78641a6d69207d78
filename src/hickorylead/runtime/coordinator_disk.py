"""Data of a coordinator on its disk."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from returns import result

from hickorylead import errors, notes
from hickorylead.crashes import messages as crash_messages
from hickorylead.fleet import events, messages as fleet_messages
from hickorylead.runtime import saved_departures
from hickorylead.storage import folder as folder_module, saved_value
from hickorylead.wire import codec

if TYPE_CHECKING:
    from hickorylead.roles import coordinator as coordinator_role, interface
    from hickorylead.telemetry import decisions

# Interval of attempts to reopen the disk after a failed write, in seconds.
RETRY_S = 0.5


class Disk:
    """The journal of the voter, and values that are used after a restart.

    Attributes:
        folder: The open data folder.
        failed_at: When a write failed, in seconds; None if the disk works.
    """

    def __init__(
        self, path: str, node: str, log: decisions.DecisionLog
    ) -> None:
        """Opens the data folder.

        Args:
            path: The folder.
            node: Name of this node, its owner.
            log: Log of decisions.

        Raises:
            errors.DataFolderError: The folder cannot be used.
        """
        self._path = pathlib.Path(path)
        self._node = node
        self._log = log
        self.folder = self.open_folder()
        self.failed_at: float | None = None
        self._servers = saved_value.SavedValue(self._path, "servers")
        self._crashes = saved_value.SavedValue(self._path, "crashes")
        self._gateways = saved_value.SavedValue(self._path, "gateways")
        self.departures = saved_departures.SavedDepartures(
            self._path / "departures", node
        )

    @property
    def has_failed(self) -> bool:
        """Whether the disk accepts no writes."""
        return self.failed_at is not None

    def open_folder(self) -> folder_module.DataFolder:
        """Opens the folder with the voter's journal."""
        return folder_module.DataFolder(self._path, self._node)

    def restore(self, role: coordinator_role.Coordinator, now: float) -> None:
        """Restores the values that were saved before a restart."""
        servers = self._load(self._servers)
        if isinstance(servers, fleet_messages.InstanceNews):
            role.registry.restore(servers.news, now)
        departed, problems = self.departures.load()
        role.registry.restore(departed, now)
        for problem in problems:
            self._log.write(
                notes.note("departures_unreadable", level="error", why=problem)
            )
        crashes = self._load(self._crashes)
        if isinstance(crashes, crash_messages.CrashNews):
            role.crashes.restore(crashes, now)
        record = self._load(self._gateways)
        if isinstance(record, fleet_messages.GatewayRecord):
            role.gateways.restore(record, now)

    def save(
        self,
        effect: events.SaveInstances
        | events.SaveCrashes
        | events.SaveGatewayRecord,
    ) -> None:
        """Saves a value for use after a restart."""
        match effect:
            case events.SaveInstances(known):
                update = fleet_messages.InstanceNews(self._node, known)
                if self._save(self._servers, update):
                    self._clear_departures()
            case events.SaveCrashes(known):
                self._save(self._crashes, known)
            case events.SaveGatewayRecord(record):
                self._save(self._gateways, record)

    def record_failure(self, error: OSError, now: float) -> None:
        """Records that a write has failed.

        The voter's state now differs from the disk. If it continued, it could
        acknowledge a change that a restart loses.
        """
        self.failed_at = now
        self._log.write(
            notes.note("disk_failed", level="error", why=str(error))
        )

    def try_again(self, now: float) -> bool:
        """Returns whether the disk accepts writes again."""
        assert self.failed_at is not None
        if now - self.failed_at < RETRY_S:
            return False
        try:
            self.folder.close()
            self.folder = self.open_folder()
            self.folder.check_writable()
        except (OSError, errors.DataFolderError) as error:
            self.failed_at = now
            self._log.write(notes.note("disk_still_failed", why=str(error)))
            return False
        self.failed_at = None
        return True

    def _load(self, source: saved_value.SavedValue) -> interface.Message | None:
        if source.value is None:
            return None
        match codec.decode_envelope(source.value):
            case result.Success(envelope):
                return envelope.message
            case result.Failure(problem):
                self._log.write(notes.note("memo_unreadable", why=problem))
        return None

    def _clear_departures(self) -> None:
        """Removes the departures that the saved servers contain."""
        try:
            self.departures.clear()
        except OSError as error:
            # They are restored once more, to the same effect.
            self._log.write(notes.note("departures_kept", why=str(error)))

    def _save(
        self, target: saved_value.SavedValue, message: interface.Message
    ) -> bool:
        """Saves a message; returns whether it is on disk."""
        value = codec.encode_envelope(codec.Envelope(self._node, "", message))
        try:
            target.save(value)
        except OSError as error:
            # The saved value is only used after a restart; by then the state is
            # reported anew.
            self._log.write(notes.note("memo_not_saved", why=str(error)))
            return False
        return True
