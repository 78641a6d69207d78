"""The replicated state machine: the configuration and change outcomes."""

from __future__ import annotations

import collections

from hickorylead.configuration import changes, model
from hickorylead.consensus import log as log_module, messages

SNAPSHOT_INTERVAL_ENTRIES = 256
MAX_OUTCOMES = 8192
# Bytes of complete configurations in the log after which a snapshot replaces
# the entries of the log. An encoded configuration has some 10 KB, so this limit
# is about 200 changes. The log is held in memory and on disk and uses a few MB
# of the 128 MB of the smallest disks.
MAX_LOG_BYTES = 2 * 1024 * 1024


class StateMachine:
    """The state that all voters derive from the same entries."""

    def __init__(self) -> None:
        """Creates the state before the first entry."""
        self.configuration = model.Configuration()
        self.applied = 0
        self._outcomes: collections.OrderedDict[str, changes.Outcome] = (
            collections.OrderedDict()
        )
        self._log_bytes = 0

    def find_outcome(self, change_id: str) -> changes.Outcome | None:
        """Returns the outcome of a change; None if it is not known."""
        return self._outcomes.get(change_id)

    def load(self, snapshot: messages.Snapshot) -> None:
        """Loads the state of a snapshot."""
        self.applied = snapshot.index
        self.configuration = snapshot.configuration
        self._outcomes = collections.OrderedDict(
            (outcome.change_id, outcome) for outcome in snapshot.outcomes
        )

    def apply(self, entry: messages.LogEntry) -> list[messages.Effect]:
        """Applies the next committed entry and returns its outcome."""
        self.applied = entry.index
        change = entry.change
        if isinstance(change.operation, changes.NoChange | changes.SetVoters):
            return []
        outcome = self._outcomes.get(change.change_id)
        if outcome is None:
            self.configuration, outcome = changes.apply_change(
                self.configuration, change
            )
            if isinstance(change.operation, changes.ReplaceWhole):
                # A resend of a complete configuration is recognised by its
                # version, not by its change id, so its outcome is not stored.
                self._log_bytes += len(change.operation.content)
                return [messages.Answer(outcome)]
            self._outcomes[change.change_id] = outcome
            # Dropping the oldest outcomes is safe: a resend of an old change
            # expects an old version, so it is rejected instead of taking effect
            # twice.
            while len(self._outcomes) > MAX_OUTCOMES:
                self._outcomes.popitem(last=False)
        return [messages.Answer(outcome)]

    def is_snapshot_due(self, log: log_module.Log) -> bool:
        """Returns whether a snapshot should replace the entries of a log."""
        return (
            len(log) >= 2 * SNAPSHOT_INTERVAL_ENTRIES
            or self._log_bytes >= MAX_LOG_BYTES
        )

    def record_snapshot(self) -> None:
        """Records that a snapshot has replaced the entries of the log."""
        self._log_bytes = 0

    def make_snapshot(self, log: log_module.Log) -> messages.Snapshot:
        """Returns a snapshot of the state with the voters of that time."""
        term = log.get_term(self.applied)
        assert term is not None, "the last applied entry is known"
        chosen = changes.SetVoters(log.snapshot.voters, log.snapshot.leaving)
        first = log.snapshot.index + 1
        for entry in log.list_from(first, self.applied - first + 1):
            match entry.change.operation:
                case changes.SetVoters() as newer:
                    chosen = newer
        return messages.Snapshot(
            index=self.applied,
            term=term,
            voters=chosen.voters,
            leaving=chosen.leaving,
            configuration=self.configuration,
            outcomes=tuple(self._outcomes.values()),
        )
