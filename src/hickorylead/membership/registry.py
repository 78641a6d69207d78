"""The control side: who is present in the zone, put together from entries."""

from __future__ import annotations

import attrs

from hickorylead.membership import (
    announcement_receiver,
    announcements,
    messages,
)

# An entry that died takes the announcements it held with it. Its servers
# announce elsewhere within two of their periods; until then they are neither
# present nor lost, so that nothing is repaired that is not broken.
ENTRY_SILENCE_PERIODS = 3.5
MOVE_GRACE_S = 4.0
RESEND_PERIOD_S = 1.0
CHECK_PERIOD_S = 0.5


@attrs.define
class Member:
    """A server as the control process knows it.

    Attributes:
        state: What it last said.
        entry: The entry that hears it.
        load: Its load, if it takes requests.
        missing_since: Since when no entry hears it; None while one does.
    """

    state: announcements.ServerState
    entry: str
    load: announcements.Load = announcements.Load()
    missing_since: float | None = None


@attrs.define
class EntryRecord:
    """An entry as the control process knows it.

    Attributes:
        heard_at: When it was last heard.
        period_s: Time between its digests.
        configuration: Version that it follows.
        asked_at: When it was last asked to tell all it hears.
        checks: Hash of the state of each server that it hears.
        check: All of them joined, kept up with every change: a digest of one
            entry must not cost a look at every server of the zone.
    """

    heard_at: float
    period_s: float = 1.0
    configuration: int = 0
    asked_at: float = -1e9
    checks: dict[str, int] = attrs.field(factory=dict)
    check: int = 0

    def add(self, state: announcements.ServerState) -> None:
        """Notes the state of a server that this entry hears."""
        self.remove(state.vm)
        self.checks[state.vm] = announcement_receiver.hash_state(state)
        self.check ^= self.checks[state.vm]

    def remove(self, vm: str) -> None:
        """Forgets a server."""
        self.check ^= self.checks.pop(vm, 0)


class MembershipRegistry:
    """Present servers of one zone."""

    def __init__(self) -> None:
        """Makes a registry that knows nobody."""
        self.members: dict[str, Member] = {}
        self.entries: dict[str, EntryRecord] = {}
        # Counts changes of states and presence, so that others can tell
        # cheaply whether there is anything new.
        self.changes = 0
        self._unheard: set[str] = set()
        self._next_check = 0.0

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
                    self._remove(vm)
            case messages.Digest():
                return self._check_digest(message, now)
            case messages.ResendRequest():
                pass
        return []

    def tick(self, now: float) -> None:
        """Forgets entries and servers that have been silent for too long."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_PERIOD_S
        for name, record in list(self.entries.items()):
            silence_s = ENTRY_SILENCE_PERIODS * record.period_s
            if now - record.heard_at <= silence_s:
                continue
            del self.entries[name]
            self._mark_unheard(record, now)
        for vm in sorted(self._unheard):
            member = self.members.get(vm)
            if member is None or member.missing_since is None:
                self._unheard.discard(vm)
            elif now - member.missing_since > MOVE_GRACE_S:
                self._remove(vm)

    def _touch(self, entry: str, now: float) -> EntryRecord:
        record = self.entries.setdefault(entry, EntryRecord(now))
        record.heard_at = now
        return record

    def _update(self, entry: str, state: announcements.ServerState) -> None:
        known = self.members.get(state.vm)
        if known and known.state.boot > state.boot:
            # Held up on the way: the server has restarted since.
            return
        self._remove(state.vm)
        load = known.load if known else announcements.Load()
        self.members[state.vm] = Member(state, entry, load)
        self.entries[entry].add(state)

    def _remove(self, vm: str) -> None:
        member = self.members.pop(vm, None)
        self.changes += 1
        record = self.entries.get(member.entry) if member else None
        if record is not None:
            record.remove(vm)

    def _mark_unheard(self, record: EntryRecord, now: float) -> None:
        for vm in record.checks:
            member = self.members.get(vm)
            if member is not None and member.missing_since is None:
                member.missing_since = now
                self._unheard.add(vm)
                self.changes += 1

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
        # A lost edge would leave this view wrong for ever; the digest shows
        # it within a period, whatever was lost.
        agrees = len(record.checks) == digest.count and (
            record.check == digest.check
        )
        if agrees:
            for vm in record.checks:
                self.members[vm].missing_since = None
            return []
        if now - record.asked_at < RESEND_PERIOD_S:
            return []
        record.asked_at = now
        self._mark_unheard(record, now)
        return [messages.Send(digest.entry, messages.ResendRequest())]
