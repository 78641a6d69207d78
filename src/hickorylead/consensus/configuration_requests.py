"""Requests to replace or read the complete configuration, at any voter.

An operator may send a request to any coordinator. A node that is not the
leader forwards the request to the leader and responds to the operator itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

import attrs

from hickorylead import notes
from hickorylead.configuration import changes
from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import events, messages

if TYPE_CHECKING:
    from hickorylead.consensus import voter as voter_module

# Time after which a request that is still undecided gets the response "not
# known", in seconds. Operators give up on a request after one second and try
# another node, later if the configuration is large.
REQUEST_TIMEOUT_S = 0.9
# Interval at which a node forwards a request to the leader again, in seconds. A
# leader replies within a few disk syncs; without a leader, the next one is
# elected in about a second.
RESEND_INTERVAL_S = 0.25
# Rate at which a large configuration is at least sent, decoded and stored, in
# bytes/s: a twentieth of the slowest link of a coordinator. It adds to the
# times above.
MIN_BYTES_PER_S = 1024 * 1024


@attrs.frozen
class SendTo:
    """Effect: send a message to a node."""

    node: str
    message: messages.Message


Effect: TypeAlias = (
    SendTo
    | events.AnswerReplace
    | events.AnswerRead
    | consensus_messages.Effect
    | notes.Note
)


@attrs.define
class _Replace:
    version: int
    content: bytes
    requester: str
    requested_at: float
    sent_at: float = -1e9
    sent_to: str = ""
    change_id: str = ""

    @property
    def transfer_s(self) -> float:
        """Time that sending and storing the content may take, in seconds."""
        return len(self.content) / MIN_BYTES_PER_S


@attrs.define
class _Read:
    requester: str
    requested_at: float
    held_version: int = 0
    sent_at: float = -1e9


class ConfigurationRequests:
    """Pending requests to replace or read the complete configuration."""

    def __init__(
        self, *, node: str, start_id: str, voter: voter_module.Voter
    ) -> None:
        """Creates the state without any pending requests.

        Args:
            node: Name of this coordinator.
            start_id: Distinguishes its starts. A reply to what a former process
                forwarded must not be taken for that to another request.
            voter: Its voter.
        """
        self._node = node
        self._start_id = start_id
        self._voter = voter
        self._replaces: dict[str, _Replace] = {}
        self._reads: dict[str, _Read] = {}
        self._change_count = 0
        # The change that this node has proposed and that is not committed yet.
        self._proposed = ""

    def replace(
        self,
        token: str,
        *,
        version: int,
        content: bytes,
        requester: str,
        now: float,
    ) -> list[Effect]:
        """Handles a replace request of an operator, direct or forwarded.

        Args:
            token: Identifies the request.
            version: The operator's version.
            content: The encoded configuration.
            requester: Node that forwarded the request; empty if the request
                came directly from an operator.
            now: Present time.
        """
        self._replaces[token] = _Replace(version, content, requester, now)
        return self._advance_replace(token, now)

    def read(
        self, token: str, *, requester: str, held_version: int, now: float
    ) -> list[Effect]:
        """Handles a read request of an operator, direct or forwarded.

        Args:
            token: Identifies the request.
            requester: Node that forwarded the request; empty if the request
                came directly from an operator.
            held_version: Version that the requester holds.
            now: Present time.
        """
        self._reads[token] = _Read(requester, now, held_version)
        effects: list[Effect] = []
        if self._voter.role == "leader":
            effects += self._voter.send_heartbeats(now)
        return [*effects, *self._advance_read(token, now)]

    def receive(self, message: messages.Message, now: float) -> list[Effect]:
        """Handles the leader's reply to a forwarded request."""
        match message:
            case messages.ReplaceReply(forwarded, accepted):
                token = self._find_token(forwarded)
                if token in self._replaces and accepted:
                    return self._finish_replace(token, True, now)
            case messages.ReadReply(forwarded, known, version, content):
                token = self._find_token(forwarded)
                read = self._reads.get(token)
                if read is None or not known:
                    return []
                own = self._voter.configuration
                if not content and version == own.outside_version:
                    content = own.content
                if version and not content:
                    return []
                return self._finish_read(token, version, content, now)
        return []

    def handle_committed(self, change_id: str, now: float) -> list[Effect]:
        """Completes the requests whose change has been committed."""
        if change_id == self._proposed:
            self._proposed = ""
        return [
            effect
            for token, pending in list(self._replaces.items())
            if pending.change_id == change_id
            for effect in self._finish_replace(token, True, now)
        ]

    def handle_abandoned(self, change_id: str) -> None:
        """Clears a change that this node can no longer commit as the leader."""
        if change_id == self._proposed:
            self._proposed = ""
        for pending in self._replaces.values():
            if pending.change_id == change_id:
                pending.change_id = ""

    def tick(self, now: float) -> list[Effect]:
        """Advances pending requests and ends those that timed out."""
        effects: list[Effect] = []
        for token, pending in list(self._replaces.items()):
            limit_s = REQUEST_TIMEOUT_S
            if pending.change_id or self._find_leader(now):
                limit_s += pending.transfer_s
            if now - pending.requested_at > limit_s:
                effects += self._finish_replace(token, False, now)
            else:
                effects += self._advance_replace(token, now)
        for token, read in list(self._reads.items()):
            if now - read.requested_at > REQUEST_TIMEOUT_S:
                if read.requester:
                    del self._reads[token]
                else:
                    effects += self._finish_read(token, 0, None, now)
            else:
                effects += self._advance_read(token, now)
        return effects

    def _advance_replace(self, token: str, now: float) -> list[Effect]:
        pending = self._replaces[token]
        if pending.version <= self._voter.configuration.outside_version:
            # The configuration that this voter has applied is committed, so an
            # equal or higher version is already in force and the request
            # changes nothing.
            return self._finish_replace(token, True, now)
        if pending.change_id:
            return []
        if self._voter.role == "leader":
            # One change at a time, the highest version first: those below it
            # change nothing afterwards and need not be replicated.
            if (
                not self._voter.knows_commits()
                or self._proposed
                or pending.version < self._find_highest_version()
            ):
                return []
            self._change_count += 1
            pending.change_id = (
                f"{self._voter.member}.{now:.3f}.{self._change_count}"
            )
            self._proposed = pending.change_id
            change = changes.Change(
                pending.change_id,
                -1,
                changes.ReplaceWhole(pending.version, pending.content),
            )
            proposed = notes.note(
                "configuration_proposed",
                outside_version=pending.version,
                size_bytes=len(pending.content),
                requester=pending.requester,
                term=self._voter.term,
            )
            return [proposed, *self._voter.propose(change, now)]
        leader = self._find_leader(now)
        interval_s = RESEND_INTERVAL_S + pending.transfer_s
        if (
            not leader
            or pending.requester
            or (
                leader == pending.sent_to and now - pending.sent_at < interval_s
            )
        ):
            return []
        pending.sent_at = now
        pending.sent_to = leader
        request = messages.ReplaceRequest(
            self._node,
            self._make_forwarded(token),
            pending.version,
            pending.content,
        )
        return [SendTo(leader, request)]

    def _advance_read(self, token: str, now: float) -> list[Effect]:
        read = self._reads[token]
        if self._voter.role == "leader":
            if not self._voter.is_read_confirmed(read.requested_at):
                return []
            return self._respond_to_read(token, read, now)
        leader = self._find_leader(now)
        if (
            not leader
            or read.requester
            or now - read.sent_at < RESEND_INTERVAL_S
        ):
            return []
        read.sent_at = now
        held = self._voter.configuration.outside_version
        request = messages.ReadRequest(
            self._node, self._make_forwarded(token), held
        )
        return [SendTo(leader, request)]

    def _make_forwarded(self, token: str) -> str:
        return f"{self._start_id}/{token}"

    def _find_token(self, forwarded: str) -> str:
        """Returns a forwarded request's token; empty for another start's."""
        start_id, _, token = forwarded.partition("/")
        return token if start_id == self._start_id else ""

    def _respond_to_read(
        self, token: str, read: _Read, now: float
    ) -> list[Effect]:
        held = self._voter.configuration
        if not read.requester:
            return self._finish_read(
                token, held.outside_version, held.content, now
            )
        del self._reads[token]
        content = (
            b"" if read.held_version == held.outside_version else held.content
        )
        reply = messages.ReadReply(token, True, held.outside_version, content)
        return [SendTo(read.requester, reply)]

    def _finish_read(
        self, token: str, version: int, content: bytes | None, now: float
    ) -> list[Effect]:
        read = self._reads.pop(token)
        note = notes.note(
            "configuration_read",
            outside_version=version,
            is_known=content is not None,
            **self._describe(read.requested_at, now),
        )
        return [events.AnswerRead(token, version, content), note]

    def _finish_replace(
        self, token: str, accepted: bool, now: float
    ) -> list[Effect]:
        pending = self._replaces.pop(token)
        if pending.requester:
            return [
                SendTo(
                    pending.requester, messages.ReplaceReply(token, accepted)
                )
            ]
        note = notes.note(
            "configuration_answered",
            outside_version=pending.version,
            is_accepted=accepted,
            **self._describe(pending.requested_at, now),
        )
        return [events.AnswerReplace(token, accepted), note]

    def _describe(self, requested_at: float, now: float) -> dict[str, Any]:
        """Returns what a log line says of this voter and the time taken."""
        return {
            "held_version": self._voter.configuration.outside_version,
            "leader": self._voter.leader,
            "after_s": round(now - requested_at, 3),
        }

    def _find_highest_version(self) -> int:
        return max(pending.version for pending in self._replaces.values())

    def _find_leader(self, now: float) -> str:
        if not self._voter.has_leader(now) or not self._voter.leader:
            return ""
        return consensus_messages.get_node(self._voter.leader)
