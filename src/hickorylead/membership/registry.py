"""The control side of membership: servers reported by a zone's entries."""

from __future__ import annotations

import attrs

from hickorylead.membership import (
    announcement_receiver,
    announcements,
    messages,
)

# When an entry dies, the announcements that it received are lost. The servers
# that announced to it announce to another entry within two announcement
# periods. Until then they are treated as neither present nor lost, so that no
# working group is repaired.
ENTRY_TIMEOUT_PERIODS = 3.5
MOVE_GRACE_S = 4.0
RESEND_PERIOD_S = 1.0
CHECK_PERIOD_S = 0.5


@attrs.define
class Member:
    """A server as reported to the control process.

    Attributes:
        state: Its last announced state.
        entry: The entry that receives its announcements.
        load: Its load, if it accepts requests.
        missing_since: Time since which no entry reports the server; None while
            an entry reports it.
    """

    state: announcements.ServerState
    entry: str
    load: announcements.Load = announcements.Load()
    missing_since: float | None = None


@attrs.define
class EntryRecord:
    """An entry and the servers that it reports.

    Attributes:
        last_received_at: When its last message arrived.
        period_s: Time between its digests.
        configuration: Version of the configuration that it uses.
        resend_requested_at: When all its states were last requested.
        state_hashes: Hash of the state of each server that it reports.
        combined_hash: All of these hashes combined, updated with every change,
            so that handling the digest of one entry does not have to visit
            every server of the zone.
    """

    last_received_at: float
    period_s: float = 1.0
    configuration: int = 0
    resend_requested_at: float = -1e9
    state_hashes: dict[str, int] = attrs.field(factory=dict)
    combined_hash: int = 0

    def add(self, state: announcements.ServerState) -> None:
        """Records the state of a server that this entry reports."""
        self.remove(state.vm)
        self.state_hashes[state.vm] = announcement_receiver.hash_state(state)
        self.combined_hash ^= self.state_hashes[state.vm]

    def remove(self, vm: str) -> None:
        """Removes a server."""
        self.combined_hash ^= self.state_hashes.pop(vm, 0)


class MembershipRegistry:
    """The present servers and the entries of one zone."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self.members: dict[str, Member] = {}
        self.entries: dict[str, EntryRecord] = {}
        # Counts changes of states and presence, so that callers can detect
        # changes cheaply.
        self.change_count = 0
        self._missing: set[str] = set()
        self._next_check = 0.0

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Send]:
        """Handles a message of an entry."""
        match message:
            case messages.Edge(entry, state):
                self._record_contact(entry, now)
                self._update(entry, state)
            case messages.Gone(entry, vm):
                self._record_contact(entry, now)
                member = self.members.get(vm)
                if member and member.entry == entry:
                    # The entry reports this only after the announcement
                    # timeout, so the server is treated as lost at once.
                    self._remove(vm)
            case messages.Digest():
                return self._handle_digest(message, now)
            case messages.ResendRequest():
                pass
        return []

    def tick(self, now: float) -> None:
        """Removes entries and servers that have timed out."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_PERIOD_S
        for name, record in list(self.entries.items()):
            timeout_s = ENTRY_TIMEOUT_PERIODS * record.period_s
            if now - record.last_received_at <= timeout_s:
                continue
            del self.entries[name]
            self._mark_missing(record, now)
        for vm in sorted(self._missing):
            member = self.members.get(vm)
            if member is None or member.missing_since is None:
                self._missing.discard(vm)
            elif now - member.missing_since > MOVE_GRACE_S:
                self._remove(vm)

    def _record_contact(self, entry: str, now: float) -> EntryRecord:
        record = self.entries.setdefault(entry, EntryRecord(now))
        record.last_received_at = now
        return record

    def _update(self, entry: str, state: announcements.ServerState) -> None:
        known = self.members.get(state.vm)
        if known and known.state.boot > state.boot:
            # The report was delayed: the server has restarted since.
            return
        self._remove(state.vm)
        load = known.load if known else announcements.Load()
        self.members[state.vm] = Member(state, entry, load)
        self.entries[entry].add(state)

    def _remove(self, vm: str) -> None:
        member = self.members.pop(vm, None)
        self.change_count += 1
        record = self.entries.get(member.entry) if member else None
        if record is not None:
            record.remove(vm)

    def _mark_missing(self, record: EntryRecord, now: float) -> None:
        for vm in record.state_hashes:
            member = self.members.get(vm)
            if member is not None and member.missing_since is None:
                member.missing_since = now
                self._missing.add(vm)
                self.change_count += 1

    def _handle_digest(
        self, digest: messages.Digest, now: float
    ) -> list[messages.Send]:
        record = self._record_contact(digest.entry, now)
        record.configuration = digest.configuration
        record.period_s = digest.period_s
        for item in digest.loads:
            member = self.members.get(item.vm)
            if member and member.entry == digest.entry:
                member.load = item.load
        # The loss of an Edge would leave this registry wrong for ever. The
        # digest reveals such a loss within one period, whatever message was
        # lost.
        agrees = len(record.state_hashes) == digest.count and (
            record.combined_hash == digest.check
        )
        if agrees:
            for vm in record.state_hashes:
                self.members[vm].missing_since = None
            return []
        if now - record.resend_requested_at < RESEND_PERIOD_S:
            return []
        record.resend_requested_at = now
        self._mark_missing(record, now)
        return [messages.Send(digest.entry, messages.ResendRequest())]
