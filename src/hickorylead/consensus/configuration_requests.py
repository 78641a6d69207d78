"""Whole configurations through the log: replace and read, by any voter.

An operator may call any control node. One that does not lead passes the call
on to the leader, and answers for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.configuration import changes
from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import events, messages

if TYPE_CHECKING:
    from hickorylead.consensus import voter as voter_module

# Operators give up on a call after a second and ask another node, so a call
# that is not decided by then gets its answer, that nothing is known, before.
GIVE_UP_S = 0.9
# A call is passed on again after this, in seconds: a leader answers within a
# few syncs, and while there is none the next one is elected in about a second.
RESEND_S = 0.25


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
)


@attrs.define
class _Replace:
    version: int
    content: bytes
    asker: str
    asked_at: float
    sent_at: float = -1e9
    change_id: str = ""


@attrs.define
class _Read:
    asker: str
    asked_at: float
    held: int = 0
    sent_at: float = -1e9


class ConfigurationRequests:
    """Calls about whole configurations at one control node."""

    def __init__(self, *, node: str, voter: voter_module.Voter) -> None:
        """Makes the part of a node that was asked nothing yet.

        Args:
            node: Name of this control node.
            voter: Its voter.
        """
        self._node = node
        self._voter = voter
        self._replaces: dict[str, _Replace] = {}
        self._reads: dict[str, _Read] = {}
        self._count = 0

    def replace(
        self,
        token: str,
        *,
        version: int,
        content: bytes,
        requester: str,
        now: float,
    ) -> list[Effect]:
        """Takes a configuration from an operator, or passed on by a node.

        Args:
            token: Names the call.
            version: The operator's version.
            content: The configuration, packed.
            requester: Node that passed it on; empty if an operator called here.
            now: Present time.
        """
        self._replaces[token] = _Replace(version, content, requester, now)
        return self._push_replace(token, now)

    def read(
        self, token: str, *, requester: str, held_version: int, now: float
    ) -> list[Effect]:
        """Takes a read from an operator, or passed on by a node.

        Args:
            token: Names the call.
            requester: Node that passed it on; empty if an operator called here.
            held_version: Version that the asker holds.
            now: Present time.
        """
        self._reads[token] = _Read(requester, now, held_version)
        effects: list[Effect] = []
        if self._voter.role == "leader":
            effects += self._voter.ask_followers(now)
        return [*effects, *self._push_read(token, now)]

    def receive(self, message: messages.Message, now: float) -> list[Effect]:
        """Takes the leader's answer to a call that was passed on."""
        match message:
            case messages.ReplaceReply(token, accepted):
                if token in self._replaces and accepted:
                    return self._end_replace(token, True)
            case messages.ReadReply(token, known, version, content):
                read = self._reads.get(token)
                if read is None or not known:
                    return []
                own = self._voter.configuration
                if not content and version == own.outside_version:
                    content = own.content
                if version and not content:
                    return []
                del self._reads[token]
                return [events.AnswerRead(token, version, content)]
        return []

    def handle_committed(self, change_id: str) -> list[Effect]:
        """Takes the news that a change is committed."""
        return [
            effect
            for token, call in list(self._replaces.items())
            if call.change_id == change_id
            for effect in self._end_replace(token, True)
        ]

    def handle_abandoned(self, change_id: str) -> None:
        """Takes the news that this node lost the lead before a commit."""
        for call in self._replaces.values():
            if call.change_id == change_id:
                call.change_id = ""

    def tick(self, now: float) -> list[Effect]:
        """Pushes calls on, and ends those that took too long."""
        effects: list[Effect] = []
        for token, call in list(self._replaces.items()):
            if now - call.asked_at > GIVE_UP_S:
                effects += self._end_replace(token, False)
            else:
                effects += self._push_replace(token, now)
        for token, read in list(self._reads.items()):
            if now - read.asked_at > GIVE_UP_S:
                del self._reads[token]
                if not read.asker:
                    effects.append(events.AnswerRead(token, 0, None))
            else:
                effects += self._push_read(token, now)
        return effects

    def _push_replace(self, token: str, now: float) -> list[Effect]:
        call = self._replaces[token]
        if call.version <= self._voter.configuration.outside_version:
            # What this voter has applied is committed, so an equal or higher
            # version lasts already and this one changes nothing.
            return self._end_replace(token, True)
        if call.change_id:
            return []
        if self._voter.role == "leader":
            if not self._voter.is_ready_leader(now):
                return []
            self._count += 1
            call.change_id = f"{self._voter.member}.{now:.3f}.{self._count}"
            change = changes.Change(
                call.change_id,
                -1,
                changes.ReplaceWhole(call.version, call.content),
            )
            return [*self._voter.propose(change, now)]
        leader = self._find_leader(now)
        if not leader or call.asker or now - call.sent_at < RESEND_S:
            return []
        call.sent_at = now
        request = messages.ReplaceRequest(
            self._node, token, call.version, call.content
        )
        return [SendTo(leader, request)]

    def _push_read(self, token: str, now: float) -> list[Effect]:
        read = self._reads[token]
        if self._voter.role == "leader":
            if not self._voter.confirms_read(read.asked_at, now):
                return []
            del self._reads[token]
            return [self._answer_read(token, read)]
        leader = self._find_leader(now)
        if not leader or read.asker or now - read.sent_at < RESEND_S:
            return []
        read.sent_at = now
        held = self._voter.configuration.outside_version
        return [SendTo(leader, messages.ReadRequest(self._node, token, held))]

    def _answer_read(self, token: str, read: _Read) -> Effect:
        held = self._voter.configuration
        if not read.asker:
            return events.AnswerRead(token, held.outside_version, held.content)
        content = b"" if read.held == held.outside_version else held.content
        reply = messages.ReadReply(token, True, held.outside_version, content)
        return SendTo(read.asker, reply)

    def _end_replace(self, token: str, accepted: bool) -> list[Effect]:
        call = self._replaces.pop(token)
        if call.asker:
            return [SendTo(call.asker, messages.ReplaceReply(token, accepted))]
        return [events.AnswerReplace(token, accepted)]

    def _find_leader(self, now: float) -> str:
        if not self._voter.has_leader(now) or not self._voter.leader:
            return ""
        return consensus_messages.get_node(self._voter.leader)
