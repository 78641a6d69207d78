"""When a coordinator saves what it knows of servers and of lost runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import events

if TYPE_CHECKING:
    from hickorylead.crashes import crash_tracker
    from hickorylead.fleet import registry as registry_module

# Shortest period between two saves of backend servers, in seconds: a save needs
# a disk sync, which blocks the event loop for 2 ms on an ordinary disk.
SAVE_PERIOD_S = 1.0


class SaveSchedule:
    """Saves servers and lost runs after they have changed."""

    def __init__(
        self,
        registry: registry_module.Registry,
        crashes: crash_tracker.CrashTracker,
        now: float,
    ) -> None:
        """Makes a schedule whose first save is due after a period.

        Args:
            registry: The backend servers.
            crashes: The lost runs.
            now: Present time.
        """
        self._registry = registry
        self._crashes = crashes
        self._saved_changes = 0
        self._saved_crash_digest = 0
        self._next_save = now + SAVE_PERIOD_S

    def tick(
        self, now: float
    ) -> list[events.SaveInstances | events.SaveCrashes]:
        """Returns what is to be saved now."""
        if now < self._next_save:
            return []
        effects: list[events.SaveInstances | events.SaveCrashes] = []
        if self._registry.change_count != self._saved_changes:
            self._saved_changes = self._registry.change_count
            known = tuple(self._registry.instances.values())
            effects.append(events.SaveInstances(known))
        if self._crashes.digest != self._saved_crash_digest:
            self._saved_crash_digest = self._crashes.digest
            effects.append(
                events.SaveCrashes(self._crashes.make_full_update(now))
            )
        if effects:
            self._next_save = now + SAVE_PERIOD_S
        return effects
