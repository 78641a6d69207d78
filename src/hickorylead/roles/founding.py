"""The start of a cluster, by one control process with a data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.configuration import messages

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Decision:
    """How a request to start a cluster ends.

    Attributes:
        entry: The entry that asked.
        reply: Its answer.
        voters: The first members; empty if no cluster is started.
    """

    entry: str
    reply: messages.FoundReply
    voters: tuple[str, ...] = ()


class Founding:
    """Asks every control process who it is, then decides."""

    def __init__(self, *, node: str, controls: Sequence[str]) -> None:
        """Makes the part of a process that was not asked yet.

        Args:
            node: Name of this control process.
            controls: All control processes of all zones.
        """
        self._node = node
        self._controls = tuple(controls)
        self._request: messages.FoundRequest | None = None
        self._replies: dict[str, messages.IdentityReply] = {}

    def start(self, request: messages.FoundRequest) -> list[messages.Send]:
        """Asks all control processes, this one too."""
        self._request = request
        self._replies = {}
        ask = messages.IdentityRequest(self._node)
        return [messages.Send(node, ask) for node in self._controls]

    def receive(self, reply: messages.IdentityReply) -> Decision | None:
        """Takes an answer; decides once every control process has answered.

        All must answer, because one that is not asked could belong to a
        cluster already, and its accepted changes would be lost from sight.
        """
        request = self._request
        if request is None:
            return None
        self._replies[reply.node] = reply
        if reply.cluster:
            detail = f"{reply.node} belongs to cluster {reply.cluster}"
            return self._decide(
                request, reply.cluster == request.cluster, detail
            )
        if set(self._replies) != set(self._controls):
            return None
        members = [r.member for r in self._replies.values() if r.member]
        detail = f"started with {len(members)} voters"
        return self._decide(request, True, detail, tuple(sorted(members)))

    def _decide(
        self,
        request: messages.FoundRequest,
        done: bool,
        detail: str,
        voters: tuple[str, ...] = (),
    ) -> Decision:
        self._request = None
        reply = messages.FoundReply(request.cluster, done, detail)
        return Decision(request.entry, reply, voters)
