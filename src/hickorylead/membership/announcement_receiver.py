"""The entry's side of membership: reports changes of announced states."""

from __future__ import annotations

import hashlib

import attrs

from hickorylead.membership import announcements, messages

ANNOUNCEMENT_TIMEOUT_S = 3.5
DIGEST_PERIOD_S = 1.0
# Number of digest periods between two digests to a control process that does
# not hold the zone lease: it only has to be ready to take over, so it gets
# every third digest.
STANDBY_DIGEST_PERIODS = 3


@attrs.define
class LastAnnouncement:
    """The last announcement of one server, and the hash of its state."""

    announcement: announcements.Announcement
    received_at: float
    state_hash: int


def hash_state(state: announcements.ServerState) -> int:
    """Returns the hash of a state; hashes are combined with XOR."""
    digest = hashlib.blake2b(repr(state).encode(), digest_size=7)
    return int.from_bytes(digest.digest(), "big")


class AnnouncementReceiver:
    """Announcements received by one entry."""

    def __init__(self, *, entry: str, controls: tuple[str, ...]) -> None:
        """Creates a receiver without any announcements.

        Args:
            entry: Name of this entry.
            controls: Control processes of the zone, which get the reports.
        """
        self._entry = entry
        self._controls = controls
        self._servers: dict[str, LastAnnouncement] = {}
        self._next_digest = 0.0
        self._digest_count = 0

    def list_states(self) -> list[announcements.ServerState]:
        """Returns the last announced state of each server."""
        return [last.announcement.state for last in self._servers.values()]

    def receive(
        self, announcement: announcements.Announcement, now: float
    ) -> list[messages.Send]:
        """Handles an announcement; reports it only if the state changed."""
        vm = announcement.state.vm
        last = self._servers.get(vm)
        if last and last.announcement.state == announcement.state:
            last.announcement, last.received_at = announcement, now
            return []
        state_hash = hash_state(announcement.state)
        self._servers[vm] = LastAnnouncement(announcement, now, state_hash)
        return self._send_to_controls(
            messages.Edge(self._entry, announcement.state)
        )

    def tick(
        self, now: float, *, configuration: int, fence: int, holder: str
    ) -> list[messages.Send]:
        """Drops servers whose announcements timed out; sends due digests.

        Args:
            now: Present time.
            configuration: Version of the configuration that this entry uses.
            fence: Fencing number of this entry's replica table.
            holder: Control process that sent that table; empty if unknown.
        """
        expired = [
            vm
            for vm, last in self._servers.items()
            if now - last.received_at > ANNOUNCEMENT_TIMEOUT_S
        ]
        effects: list[messages.Send] = []
        for vm in expired:
            del self._servers[vm]
            effects += self._send_to_controls(messages.Gone(self._entry, vm))
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_PERIOD_S
            effects += self._send_digests(configuration, fence, holder)
        return effects

    def _send_digests(
        self, configuration: int, fence: int, holder: str
    ) -> list[messages.Send]:
        self._digest_count += 1
        digest = self._make_digest(configuration, fence)
        if holder not in self._controls:
            return self._send_to_controls(digest)
        effects = [messages.Send(holder, digest)]
        if self._digest_count % STANDBY_DIGEST_PERIODS == 0:
            period_s = DIGEST_PERIOD_S * STANDBY_DIGEST_PERIODS
            standby_digest = attrs.evolve(digest, period_s=period_s)
            effects += [
                messages.Send(node, standby_digest)
                for node in self._controls
                if node != holder
            ]
        return effects

    def resend(self, control: str) -> list[messages.Send]:
        """Sends all states to one control process, each as an Edge."""
        return [
            messages.Send(control, messages.Edge(self._entry, state))
            for state in self.list_states()
        ]

    def _make_digest(self, configuration: int, fence: int) -> messages.Digest:
        combined_hash = 0
        for last in self._servers.values():
            combined_hash ^= last.state_hash
        loads = tuple(
            messages.LeaderLoad(vm, last.announcement.load)
            for vm, last in sorted(self._servers.items())
            if last.announcement.state.rank == 0
            and last.announcement.state.service
        )
        return messages.Digest(
            entry=self._entry,
            count=len(self._servers),
            check=combined_hash,
            loads=loads,
            configuration=configuration,
            fence=fence,
        )

    def _send_to_controls(
        self, message: messages.Message
    ) -> list[messages.Send]:
        return [messages.Send(node, message) for node in self._controls]
