"""Bootstrap of a cluster by one control process with a data folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.configuration import messages

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Decision:
    """Outcome of a request to bootstrap a cluster.

    Attributes:
        entry: The entry that sent the request.
        reply: The reply to that entry.
        voters: The first voters; empty if no cluster is bootstrapped.
    """

    entry: str
    reply: messages.FoundReply
    voters: tuple[str, ...] = ()


class ClusterBootstrap:
    """Queries the identity of every control process, then decides."""

    def __init__(self, *, node: str, controls: Sequence[str]) -> None:
        """Initializes the bootstrap without a pending request.

        Args:
            node: Node name of this control process.
            controls: All control processes of all zones.
        """
        self._node = node
        self._controls = tuple(controls)
        self._request: messages.FoundRequest | None = None
        self._replies: dict[str, messages.IdentityReply] = {}

    def start(self, request: messages.FoundRequest) -> list[messages.Send]:
        """Queries all control processes, including this one."""
        self._request = request
        self._replies = {}
        query = messages.IdentityRequest(self._node)
        return [messages.Send(node, query) for node in self._controls]

    def handle_identity_reply(
        self, reply: messages.IdentityReply
    ) -> Decision | None:
        """Handles a reply; decides once every control process has replied.

        Every control process must reply: one that was left out could belong to
        an existing cluster already, whose accepted changes the new cluster
        would not contain.
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
