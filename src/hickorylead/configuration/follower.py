"""A process that follows the configuration without a vote and without disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.configuration import messages, model

if TYPE_CHECKING:
    from collections.abc import Sequence

POLL_PERIOD_S = 1.0
# A leader that has not answered for this long may be cut off from here.
LEADER_SILENCE_S = 4.0


class Follower:
    """The version that one process holds; it never falls.

    A version counts as in force in a zone once a majority of the zone's
    control processes holds it. A process that restarted without a disk has
    forgotten what it held, so before it is ready it must hear from enough of
    them to meet every such majority, or from the leader of the voters.
    """

    def __init__(
        self,
        *,
        node: str,
        controls: Sequence[str],
        all_controls: Sequence[str] = (),
    ) -> None:
        """Makes a follower that holds nothing.

        Args:
            node: Name of this process.
            controls: Control processes of the zone, this one too if it is
                one.
            all_controls: Control processes of all zones, if this process is
                one: it looks for the leader among them.
        """
        self._node = node
        self._others = tuple(name for name in controls if name != node)
        majority = len(controls) // 2 + 1
        if all_controls:
            # A majority may have held it only thanks to this process.
            self._needed = len(controls) - majority + 1
        else:
            self._needed = majority
        self._heard: set[str] = set()
        self._next_poll = 0.0
        self._all_controls = tuple(all_controls)
        self._rotation = 0
        self._leader_heard_at = -1e9
        self.ready = False
        self.leader = ""
        self.configuration = model.Configuration()

    @property
    def version(self) -> int:
        """The version held."""
        return self.configuration.version

    def adopt(self, configuration: model.Configuration) -> bool:
        """Takes a document if it is newer; says whether it was."""
        if configuration.version <= self.version:
            # Late or from a process that is behind: going back would bring a
            # replaced preset in force again.
            return False
        self.configuration = configuration
        return True

    def find_leader(self, now: float) -> str:
        """Returns the leader of the voters, if it answered here lately."""
        if now - self._leader_heard_at > LEADER_SILENCE_S:
            return ""
        return self.leader

    def receive(self, update: messages.ConfigurationUpdate, now: float) -> bool:
        """Takes an update; says whether the version rose."""
        if update.leader and (update.from_leader or not self.find_leader(now)):
            self.leader = update.leader
        if update.from_leader:
            self._leader_heard_at = now
        rose = self.adopt(update.configuration)
        if self.ready or update.version > self.version:
            return rose
        if update.ready and update.sender in self._others:
            self._heard.add(update.sender)
        self.ready = update.from_leader or len(self._heard) >= self._needed
        return rose

    def poll(self, now: float) -> list[messages.Send]:
        """Asks for news when it is due.

        An entry that is ready asks no more: its digests tell the control
        processes which version it follows, and they send it a newer one.
        """
        is_entry = not self._all_controls
        if now < self._next_poll or (is_entry and self.ready):
            return []
        self._next_poll = now + POLL_PERIOD_S
        request = messages.ConfigurationRequest(self._node, self.version)
        nodes = dict.fromkeys([*self._others, *self._choose_sources(now)])
        return [
            messages.Send(node, request)
            for node in nodes
            if node and node != self._node
        ]

    def _choose_sources(self, now: float) -> list[str]:
        """Returns whom a control process asks besides those of its zone."""
        if not self._all_controls:
            return []
        leader = self.find_leader(now)
        if leader:
            return [leader]
        # The leader may be gone, and with it the only voter of this zone: then
        # nobody here learns who leads now. Any other process may know.
        self._rotation += 1
        count = len(self._all_controls)
        return [self.leader, self._all_controls[self._rotation % count]]
