"""Reducer of operators' changes and queries at an entry."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.configuration import (
    changes,
    messages,
    model as configuration_model,
)
from hickorylead.roles import interface, nodes, status

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorylead.configuration import follower
    from hickorylead.requests import history

RESEND_PERIOD_S = 1.0
CHANGE_TIMEOUT_S = 6.0
# Time after which a change is refused if no process could accept it for lack of
# a known leader, in seconds: the election of a new leader takes about as long.
NO_LEADER_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
BOOTSTRAP_TIMEOUT_S = 5.0


@attrs.define
class _PendingChange:
    change: changes.Change
    since: float
    next_send: float
    is_validated: bool
    lost: bool = False
    target: str = ""
    unanswered: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    @property
    def may_apply(self) -> bool:
        """Whether a process may have accepted the change without a reply."""
        return self.lost or any(self.unanswered.values())


@attrs.define
class _StatusQuery:
    since: float
    controls: dict[str, status.ControlStatus] = attrs.field(factory=dict)


@attrs.define
class _PendingBootstrap:
    since: float
    is_forwarded: bool = False


class Operations:
    """Pending requests of operators at one entry."""

    def __init__(
        self,
        *,
        node: str,
        controls: Sequence[str],
        follower: follower.Follower,
        histories: history.HistoryStore,
    ) -> None:
        """Initializes the state without pending requests.

        Args:
            node: Node name of this entry.
            controls: All control processes of all zones.
            follower: Follower of the configuration at this entry.
            histories: Histories of this entry's requests.
        """
        self._node = node
        self._controls = tuple(controls)
        zone = nodes.get_zone(node)
        self._zone_controls = [
            name for name in controls if nodes.get_zone(name) == zone
        ]
        self._follower = follower
        self._histories = histories
        self._rotation = 0
        self._changes: dict[str, _PendingChange] = {}
        self._status_queries: dict[str, _StatusQuery] = {}
        self._pending_explanations: dict[str, float] = {}
        self._pending_bootstraps: dict[str, _PendingBootstrap] = {}

    def tick(self, now: float) -> list[interface.EntryEffect]:
        """Resends requests without a reply, and ends those that timed out."""
        effects: list[interface.EntryEffect] = []
        for pending in list(self._changes.values()):
            effects += self._send_change(pending, now)
        for token, query in list(self._status_queries.items()):
            if now - query.since >= STATUS_TIMEOUT_S:
                effects += self._finish_status_query(token, now)
        for token, since in list(self._pending_explanations.items()):
            if now - since >= STATUS_TIMEOUT_S:
                reply = status.ExplainReply(token, found=False)
                effects += self._answer_explanation(reply)
        for cluster, bootstrap in list(self._pending_bootstraps.items()):
            if now - bootstrap.since >= BOOTSTRAP_TIMEOUT_S:
                detail = "not every control process replied"
                effects += self._answer_bootstrap(cluster, False, detail)
        return effects

    def end(self, now: float) -> list[interface.EntryEffect]:
        """Answers all pending requests without their outcome."""
        effects: list[interface.EntryEffect] = []
        for change_id, pending in self._changes.items():
            effects.append(
                interface.AnswerChange(
                    change_id, None, may_apply=pending.may_apply
                )
            )
        self._changes.clear()
        for token in list(self._status_queries):
            effects += self._finish_status_query(token, now)
        for token in list(self._pending_explanations):
            reply = status.ExplainReply(token, found=False)
            effects += self._answer_explanation(reply)
        for cluster in list(self._pending_bootstraps):
            detail = "this entry is stopping"
            effects += self._answer_bootstrap(cluster, False, detail)
        return effects

    # Changes.

    def submit(
        self, change: changes.Change, now: float
    ) -> list[interface.EntryEffect]:
        """Handles a change; a resubmission joins the pending change."""
        if change.change_id in self._changes:
            return []
        needs_validation = isinstance(
            change.operation, changes.ApplyService | changes.ApplyPreset
        )
        pending = _PendingChange(
            change, now, now, is_validated=not needs_validation
        )
        self._changes[change.change_id] = pending
        if needs_validation:
            # Only the control processes of a zone have the sizes of its fabric
            # domains, so the change is validated against their status.
            return self._query_status(
                _make_validation_token(change.change_id), now
            )
        return self._send_change(pending, now)

    def handle_change_reply(
        self, sender: str, reply: messages.ChangeReply, now: float
    ) -> list[interface.EntryEffect]:
        """Handles a control process's reply to a change."""
        change_id = reply.outcome.change_id
        pending = self._changes.get(change_id)
        if pending is None:
            return []
        if reply.final:
            del self._changes[change_id]
            return [interface.AnswerChange(change_id, reply.outcome)]
        pending.unanswered[sender] -= 1
        if reply.lost:
            # The leader appended the change, then lost its majority. The next
            # leader's log may contain it or not. Resending is safe and gets
            # the outcome, as the log records the change ID.
            pending.lost = True
        pending.target = reply.leader
        if reply.leader:
            pending.next_send = now
            return self._send_change(pending, now)
        return []

    def _send_change(
        self, pending: _PendingChange, now: float
    ) -> list[interface.EntryEffect]:
        if not pending.is_validated:
            return []
        change_id = pending.change.change_id
        waited_s = now - pending.since
        if waited_s >= CHANGE_TIMEOUT_S or (
            waited_s >= NO_LEADER_TIMEOUT_S and not pending.may_apply
        ):
            del self._changes[change_id]
            return [
                interface.AnswerChange(
                    change_id, None, may_apply=pending.may_apply
                )
            ]
        if now < pending.next_send:
            return []
        pending.next_send = now + RESEND_PERIOD_S
        target = pending.target
        if not target:
            # A control process of the zone can determine whether a leader is
            # reachable; a change that it refuses has certainly not been
            # accepted.
            self._rotation += 1
            own = self._zone_controls
            target = own[self._rotation % len(own)]
        pending.target = ""
        pending.unanswered[target] += 1
        request = messages.ChangeRequest(self._node, pending.change)
        return [interface.Send(target, request)]

    def _validate_change(
        self,
        pending: _PendingChange,
        controls: Sequence[status.ControlStatus],
        now: float,
    ) -> list[interface.EntryEffect]:
        problem = _validate_capacity(
            pending.change.operation, controls, self._follower.configuration
        )
        if not problem:
            pending.is_validated = True
            return self._send_change(pending, now)
        change_id = pending.change.change_id
        del self._changes[change_id]
        outcome = changes.Outcome(
            change_id, False, self._follower.version, "does_not_fit", problem
        )
        return [interface.AnswerChange(change_id, outcome)]

    # Queries.

    def request_status(
        self, token: str, now: float
    ) -> list[interface.EntryEffect]:
        """Requests the status of every control process."""
        return self._query_status(token, now)

    def handle_status(
        self, reply: status.StatusReply, now: float
    ) -> list[interface.EntryEffect]:
        """Handles the status of one control process."""
        query = self._status_queries.get(reply.token)
        if query is None:
            return []
        query.controls[reply.status.node] = reply.status
        if len(query.controls) < len(self._controls):
            return []
        return self._finish_status_query(reply.token, now)

    def _query_status(
        self, token: str, now: float
    ) -> list[interface.EntryEffect]:
        self._status_queries[token] = _StatusQuery(now)
        request = status.StatusRequest(self._node, token)
        return [interface.Send(node, request) for node in self._controls]

    def _finish_status_query(
        self, token: str, now: float
    ) -> list[interface.EntryEffect]:
        query = self._status_queries.pop(token)
        found = tuple(s for _, s in sorted(query.controls.items()))
        change_id = _parse_validation_token(token)
        if change_id is None:
            return [interface.AnswerStatus(token, found)]
        pending = self._changes.get(change_id)
        return self._validate_change(pending, found, now) if pending else []

    def request_explanation(
        self, token: str, request_id: str, now: float
    ) -> list[interface.EntryEffect]:
        """Queries the entry that accepted a request, which may be this one."""
        entry = nodes.parse_entry_node(request_id)
        if entry == self._node:
            return [
                interface.AnswerExplain(token, self.explain(token, request_id))
            ]
        zone = nodes.get_zone(entry) if entry else ""
        relays = [n for n in self._controls if nodes.get_zone(n) == zone]
        if not relays:
            not_found = status.ExplainReply(token, found=False)
            return [interface.AnswerExplain(token, not_found)]
        self._pending_explanations[token] = now
        request = status.ExplainRequest(self._node, token, request_id)
        return [interface.Send(node, request) for node in relays]

    def explain(self, token: str, request_id: str) -> status.ExplainReply:
        """Returns the history of a request of this entry."""
        found = self._histories.get(request_id)
        if found is None:
            return status.ExplainReply(token, found=False)
        steps = tuple(
            status.ExplainStep(
                step.elapsed_s,
                step.code,
                step.detail,
                tuple(
                    f"{w.group} {w.cost:.3f}{' prefix' if w.preferred else ''}"
                    for w in step.candidates
                ),
            )
            for step in found.steps
        )
        return status.ExplainReply(
            token, True, found.service, found.workspace, steps
        )

    def handle_explanation(
        self, reply: status.ExplainReply
    ) -> list[interface.EntryEffect]:
        """Handles another entry's reply; drops replies after the first."""
        if reply.token not in self._pending_explanations:
            return []
        return self._answer_explanation(reply)

    def _answer_explanation(
        self, reply: status.ExplainReply
    ) -> list[interface.EntryEffect]:
        del self._pending_explanations[reply.token]
        return [interface.AnswerExplain(reply.token, reply)]

    # Bootstrap of a cluster.

    def request_bootstrap(
        self, cluster: str, now: float
    ) -> list[interface.EntryEffect]:
        """Queries the control processes, to bootstrap a cluster.

        They are queried in a fixed order; the first one with a data folder
        that replies bootstraps the cluster.
        """
        self._pending_bootstraps[cluster] = _PendingBootstrap(now)
        request = messages.IdentityRequest(self._node)
        return [interface.Send(node, request) for node in self._controls]

    def handle_identity(
        self, reply: messages.IdentityReply
    ) -> list[interface.EntryEffect]:
        """Forwards the pending bootstrap requests to a control process.

        The recipient is the first one that replies that it has a data folder.
        """
        if not reply.member:
            return []
        effects: list[interface.EntryEffect] = []
        for cluster, bootstrap in self._pending_bootstraps.items():
            if not bootstrap.is_forwarded:
                bootstrap.is_forwarded = True
                request = messages.FoundRequest(self._node, cluster)
                effects.append(interface.Send(reply.node, request))
        return effects

    def handle_bootstrap_reply(
        self, reply: messages.FoundReply
    ) -> list[interface.EntryEffect]:
        """Handles the reply to a request to bootstrap a cluster."""
        if reply.cluster not in self._pending_bootstraps:
            return []
        return self._answer_bootstrap(reply.cluster, reply.done, reply.detail)

    def _answer_bootstrap(
        self, cluster: str, done: bool, detail: str
    ) -> list[interface.EntryEffect]:
        del self._pending_bootstraps[cluster]
        return [interface.AnswerBootstrap(cluster, done, detail)]


_VALIDATION_PREFIX = "check:"


def _make_validation_token(change_id: str) -> str:
    return _VALIDATION_PREFIX + change_id


def _parse_validation_token(token: str) -> str | None:
    """Returns the change that a status query validates, if any."""
    if token.startswith(_VALIDATION_PREFIX):
        return token[len(_VALIDATION_PREFIX) :]
    return None


def _validate_capacity(
    operation: changes.Operation,
    controls: Sequence[status.ControlStatus],
    configuration: configuration_model.Configuration,
) -> str:
    """Returns why a change can never be placed; empty if it can.

    A zone in which no backend server has announced itself yet is skipped.
    """
    largest: dict[str, int] = {}
    for control in controls:
        known = largest.get(control.zone, 0)
        largest[control.zone] = max(known, control.largest_domain)
    match operation:
        case changes.ApplyService(service):
            room = max(largest.values(), default=0)
            if room and service.group_size > room:
                return (
                    f"a group of {service.group_size} VMs fits no fabric"
                    f" domain; the largest one has {room} VMs"
                )
        case changes.ApplyPreset(preset):
            for share in preset.shares:
                found = configuration.find_service(share.service)
                room = largest.get(share.zone, 0)
                wanted = found is not None and share.replicas > 0
                if found and wanted and 0 < room < found.group_size:
                    return (
                        f"{share.service} needs {found.group_size} VMs of one"
                        f" fabric domain; the largest one of zone"
                        f" {share.zone} has {room}"
                    )
    return ""
