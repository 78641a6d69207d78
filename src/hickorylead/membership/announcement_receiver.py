"""The entry's side: servers announce to it, it reports only the edges."""

from __future__ import annotations

import hashlib

import attrs

from hickorylead.membership import announcements, messages

SILENCE_S = 3.5
DIGEST_PERIOD_S = 1.0
# Control processes that do not hold the lease only have to be ready to take
# over; they get every third digest.
STANDBY_DIGESTS = 3


@attrs.define
class Heard:
    """The last announcement of one server, and the hash of its state."""

    announcement: announcements.Announcement
    at: float
    check: int


def hash_state(state: announcements.ServerState) -> int:
    """Returns a hash of a state; those of several are joined by XOR."""
    digest = hashlib.blake2b(repr(state).encode(), digest_size=7)
    return int.from_bytes(digest.digest(), "big")


class AnnouncementReceiver:
    """Announcements that one entry hears."""

    def __init__(self, *, entry: str, controls: tuple[str, ...]) -> None:
        """Makes a listener that has heard nobody.

        Args:
            entry: Name of this entry.
            controls: Control processes of the zone, which are told.
        """
        self._entry = entry
        self._controls = controls
        self._heard: dict[str, Heard] = {}
        self._next_digest = 0.0
        self._digests = 0

    def list_states(self) -> list[announcements.ServerState]:
        """Returns the state of each server heard."""
        return [h.announcement.state for h in self._heard.values()]

    def receive(
        self, announcement: announcements.Announcement, now: float
    ) -> list[messages.Send]:
        """Takes an announcement; tells of it only if the state changed."""
        vm = announcement.state.vm
        before = self._heard.get(vm)
        if before and before.announcement.state == announcement.state:
            before.announcement, before.at = announcement, now
            return []
        check = hash_state(announcement.state)
        self._heard[vm] = Heard(announcement, now, check)
        return self._tell(messages.Edge(self._entry, announcement.state))

    def tick(
        self, now: float, *, configuration: int, fence: int, holder: str
    ) -> list[messages.Send]:
        """Drops servers that fell silent, and sends the digest when due.

        Args:
            now: Present time.
            configuration: Version that this entry follows.
            fence: Fencing number of its replica table.
            holder: Control process that sent that table; empty if unknown.
        """
        silent = [vm for vm, h in self._heard.items() if now - h.at > SILENCE_S]
        effects: list[messages.Send] = []
        for vm in silent:
            del self._heard[vm]
            effects += self._tell(messages.Gone(self._entry, vm))
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_PERIOD_S
            effects += self._send_digests(configuration, fence, holder)
        return effects

    def _send_digests(
        self, configuration: int, fence: int, holder: str
    ) -> list[messages.Send]:
        self._digests += 1
        digest = self._make_digest(configuration, fence)
        if holder not in self._controls:
            return self._tell(digest)
        effects = [messages.Send(holder, digest)]
        if self._digests % STANDBY_DIGESTS == 0:
            period_s = DIGEST_PERIOD_S * STANDBY_DIGESTS
            rare = attrs.evolve(digest, period_s=period_s)
            effects += [
                messages.Send(node, rare)
                for node in self._controls
                if node != holder
            ]
        return effects

    def resend(self, control: str) -> list[messages.Send]:
        """Tells one control process everything, as edges."""
        return [
            messages.Send(control, messages.Edge(self._entry, state))
            for state in self.list_states()
        ]

    def _make_digest(self, configuration: int, fence: int) -> messages.Digest:
        check = 0
        for heard in self._heard.values():
            check ^= heard.check
        loads = tuple(
            messages.LeaderLoad(vm, h.announcement.load)
            for vm, h in sorted(self._heard.items())
            if h.announcement.state.rank == 0 and h.announcement.state.service
        )
        return messages.Digest(
            entry=self._entry,
            count=len(self._heard),
            check=check,
            loads=loads,
            configuration=configuration,
            fence=fence,
        )

    def _tell(self, message: messages.Message) -> list[messages.Send]:
        return [messages.Send(node, message) for node in self._controls]
