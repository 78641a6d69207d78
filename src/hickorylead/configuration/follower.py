"""Follows the configuration in a process without a vote and without a disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import messages, model

if TYPE_CHECKING:
    from collections.abc import Sequence

POLL_PERIOD_S = 1.0
# Time without an update after which the leader may be unreachable from here, in
# seconds.
LEADER_TIMEOUT_S = 4.0


class Follower:
    """The configuration that one process holds; its version never decreases.

    A version is in force in a zone once a majority of the zone's control
    processes holds it. A process that restarted without a disk has lost the
    version that it held. Before it is ready, it must therefore receive updates
    from enough control processes of the zone to overlap with every such
    majority, or from the leader of the voters.
    """

    def __init__(
        self,
        *,
        node: str,
        controls: Sequence[str],
        all_controls: Sequence[str] = (),
    ) -> None:
        """Makes a follower that holds the empty configuration.

        Args:
            node: Name of this process.
            controls: Control processes of the zone, including this process if
                it is a control process.
            all_controls: Control processes of all zones, in which this process
                looks for the leader; empty if this process is not a control
                process.
        """
        self._node = node
        self._zone_peers = tuple(name for name in controls if name != node)
        majority = len(controls) // 2 + 1
        if all_controls:
            # This process may itself belong to the majority that held the
            # version in force, so that as few as `majority - 1` of the others
            # may hold the version.
            self._required_senders = len(controls) - majority + 1
        else:
            self._required_senders = majority
        self._ready_senders: set[str] = set()
        self._next_poll = 0.0
        self._all_controls = tuple(all_controls)
        self._rotation = 0
        self._leader_updated_at = -1e9
        self.ready = False
        self.leader = ""
        self.configuration = model.Configuration()

    @property
    def version(self) -> int:
        """The version of the configuration held."""
        return self.configuration.version

    def adopt(self, configuration: model.Configuration) -> bool:
        """Applies a configuration if it is newer; returns whether it was."""
        if configuration.version <= self.version:
            # The update is late, or from a process that is behind. Applying an
            # older version would put a replaced preset in force again.
            return False
        self.configuration = configuration
        return True

    def find_leader(self, now: float) -> str:
        """Returns the leader of the voters if it sent an update recently.

        Returns:
            An empty name if it sent none within LEADER_TIMEOUT_S.
        """
        if now - self._leader_updated_at > LEADER_TIMEOUT_S:
            return ""
        return self.leader

    def handle_update(
        self, update: messages.ConfigurationUpdate, now: float
    ) -> bool:
        """Handles an update; returns whether the version rose."""
        if update.leader and (update.from_leader or not self.find_leader(now)):
            self.leader = update.leader
        if update.from_leader:
            self._leader_updated_at = now
        is_newer = self.adopt(update.configuration)
        if self.ready or update.version > self.version:
            return is_newer
        if update.ready and update.sender in self._zone_peers:
            self._ready_senders.add(update.sender)
        self.ready = (
            update.from_leader
            or len(self._ready_senders) >= self._required_senders
        )
        return is_newer

    def collect_messages(self, now: float) -> list[messages.Send]:
        """Returns requests for newer versions when they are due.

        An entry that is ready sends no more requests: its digests report the
        version that it holds to the control processes, which send it a newer
        one.
        """
        is_entry = not self._all_controls
        if now < self._next_poll or (is_entry and self.ready):
            return []
        self._next_poll = now + POLL_PERIOD_S
        request = messages.ConfigurationRequest(self._node, self.version)
        nodes = dict.fromkeys([*self._zone_peers, *self._choose_sources(now)])
        return [
            messages.Send(node, request)
            for node in nodes
            if node and node != self._node
        ]

    def _choose_sources(self, now: float) -> list[str]:
        """Returns which other control processes to query besides the zone's."""
        if not self._all_controls:
            return []
        leader = self.find_leader(now)
        if leader:
            return [leader]
        # The leader may have failed, and with it the only voter of this zone:
        # then no process of the zone receives the name of the new leader. Any
        # process of another zone may have that name, so the processes of all
        # zones are queried in turn.
        self._rotation += 1
        count = len(self._all_controls)
        return [self.leader, self._all_controls[self._rotation % count]]
