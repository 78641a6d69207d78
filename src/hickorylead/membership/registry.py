"""The control side: who is present in the zone, put together from entries."""

from __future__ import annotations

import attrs

from hickorylead.membership import announcements, listener, messages

# An entry that died takes the announcements it held with it. Its servers
# announce elsewhere within two of their periods; until then they are neither
# present nor lost, so that nothing is repaired that is not broken.
ENTRY_SILENCE_PERIODS = 3.5
MOVE_GRACE_S = 4.0
RESEND_PERIOD_S = 1.0


@attrs.define
class Member:
    """A server as the control process knows it.

    Attributes:
        state: What it last said.
        entry: The entry that hears it.
        load: Its load, if it takes requests.
        unheard_since: Since when no entry hears it; None while one does.
    """

    state: announcements.ServerState
    entry: str
    load: announcements.Load = announcements.Load()
    unheard_since: float | None = None


@attrs.define
class EntryRecord:
    """An entry as the control process knows it."""

    heard_at: float
    period_s: float = 1.0
    configuration: int = 0
    asked_at: float = -1e9


class Registry:
    """Present servers of one zone."""

    def __init__(self) -> None:
        """Makes a registry that knows nobody."""
        self.members: dict[str, Member] = {}
        self.entries: dict[str, EntryRecord] = {}

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Send]:
        """Handles a report of an entry."""
        match message:
            case messages.Edge(entry, state):
                self._touch(entry, now)
                self._update(entry, state)
            case messages.Gone(entry, vm):
                self._touch(entry, now)
                member = self.members.get(vm)
                if member and member.entry == entry:
                    # Told after the silence was measured: lost right away.
                    del self.members[vm]
            case messages.Digest():
                return self._check_digest(message, now)
            case messages.ResendRequest():
                pass
        return []

    def tick(self, now: float) -> None:
        """Forgets entries and servers that have been silent for too long."""
        for name, record in list(self.entries.items()):
            silence_s = ENTRY_SILENCE_PERIODS * record.period_s
            if now - record.heard_at <= silence_s:
                continue
            del self.entries[name]
            for member in self.members.values():
                if member.entry == name and member.unheard_since is None:
                    member.unheard_since = now
        for vm, member in list(self.members.items()):
            since = member.unheard_since
            if since is not None and now - since > MOVE_GRACE_S:
                del self.members[vm]

    def _touch(self, entry: str, now: float) -> EntryRecord:
        record = self.entries.setdefault(entry, EntryRecord(now))
        record.heard_at = now
        return record

    def _update(self, entry: str, state: announcements.ServerState) -> None:
        known = self.members.get(state.vm)
        if known and known.state.boot > state.boot:
            # Held up on the way: the server has restarted since.
            return
        load = known.load if known else announcements.Load()
        self.members[state.vm] = Member(state, entry, load)

    def _check_digest(
        self, digest: messages.Digest, now: float
    ) -> list[messages.Send]:
        record = self._touch(digest.entry, now)
        record.configuration = digest.configuration
        record.period_s = digest.period_s
        for item in digest.loads:
            member = self.members.get(item.vm)
            if member and member.entry == digest.entry:
                member.load = item.load
        states = [
            m.state for m in self.members.values() if m.entry == digest.entry
        ]
        # A lost edge would leave this view wrong for ever; the digest shows
        # it within a period, whatever was lost.
        agrees = len(states) == digest.count and (
            listener.hash_states(states) == digest.check
        )
        if agrees:
            for member in self.members.values():
                if member.entry == digest.entry:
                    member.unheard_since = None
            return []
        if now - record.asked_at < RESEND_PERIOD_S:
            return []
        record.asked_at = now
        for member in self.members.values():
            if member.entry == digest.entry and member.unheard_since is None:
                member.unheard_since = now
        return [messages.Send(digest.entry, messages.ResendRequest())]
