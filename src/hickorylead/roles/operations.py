"""Operators' changes and questions at an entry, as a reducer."""

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
# A change that no process could take, because none knows a leader, is refused
# after this: an election of a new leader takes about as long.
NO_LEADER_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
FOUNDING_TIMEOUT_S = 5.0


@attrs.define
class _Change:
    change: changes.Change
    since: float
    next_send: float
    checked: bool
    lost: bool = False
    target: str = ""
    unanswered: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    @property
    def may_apply(self) -> bool:
        """Whether some process may have taken it without saying so."""
        return self.lost or any(self.unanswered.values())


@attrs.define
class _Gathering:
    since: float
    controls: dict[str, status.ControlStatus] = attrs.field(factory=dict)


@attrs.define
class _Founding:
    since: float
    passed_on: bool = False


class Operations:
    """What operators wait for at one entry."""

    def __init__(
        self,
        *,
        node: str,
        controls: Sequence[str],
        follower: follower.Follower,
        trails: history.HistoryStore,
    ) -> None:
        """Makes the part of an entry that speaks with operators.

        Args:
            node: Name of this entry.
            controls: All control processes of all zones.
            follower: The configuration as this entry follows it.
            trails: What happened to this entry's requests.
        """
        self._node = node
        self._controls = tuple(controls)
        zone = nodes.get_zone(node)
        self._zone_controls = [
            name for name in controls if nodes.get_zone(name) == zone
        ]
        self._follower = follower
        self._trails = trails
        self._rotation = 0
        self._changes: dict[str, _Change] = {}
        self._gatherings: dict[str, _Gathering] = {}
        self._explains: dict[str, float] = {}
        self._foundings: dict[str, _Founding] = {}

    def tick(self, now: float) -> list[interface.EntryEffect]:
        """Sends again what was not answered, and gives up what is overdue."""
        effects: list[interface.EntryEffect] = []
        for pending in list(self._changes.values()):
            effects += self._push_change(pending, now)
        for token, gathering in list(self._gatherings.items()):
            if now - gathering.since >= STATUS_TIMEOUT_S:
                effects += self._finish_gathering(token, now)
        for token, since in list(self._explains.items()):
            if now - since >= STATUS_TIMEOUT_S:
                reply = status.ExplainReply(token, found=False)
                effects += self._answer_explain(reply)
        for cluster, founding in list(self._foundings.items()):
            if now - founding.since >= FOUNDING_TIMEOUT_S:
                detail = "not every control process answered"
                effects += self._answer_founding(cluster, False, detail)
        return effects

    # Changes.

    def submit(
        self, change: changes.Change, now: float
    ) -> list[interface.EntryEffect]:
        """Takes a change; a resend joins the one under way."""
        if change.change_id in self._changes:
            return []
        needs_check = isinstance(
            change.operation, changes.ApplyService | changes.ApplyPreset
        )
        pending = _Change(change, now, now, checked=not needs_check)
        self._changes[change.change_id] = pending
        if needs_check:
            # Whether a group fits a fabric domain only the zones know.
            return self._gather(_name_check(change.change_id), now)
        return self._push_change(pending, now)

    def receive_reply(
        self, sender: str, reply: messages.ChangeReply, now: float
    ) -> list[interface.EntryEffect]:
        """Takes a control process's reply to a change."""
        change_id = reply.outcome.change_id
        pending = self._changes.get(change_id)
        if pending is None:
            return []
        if reply.final:
            del self._changes[change_id]
            return [interface.AnswerChange(change_id, reply.outcome)]
        pending.unanswered[sender] -= 1
        if reply.lost:
            # Appended, then the leader lost its majority. The next leader
            # may hold it or not; sending it again finds out, as the change
            # id is remembered in the log itself.
            pending.lost = True
        pending.target = reply.leader
        if reply.leader:
            pending.next_send = now
            return self._push_change(pending, now)
        return []

    def _push_change(
        self, pending: _Change, now: float
    ) -> list[interface.EntryEffect]:
        if not pending.checked:
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
            # A control process of the zone knows whether a leader can be
            # reached; what it refuses has certainly not been taken.
            self._rotation += 1
            own = self._zone_controls
            target = own[self._rotation % len(own)]
        pending.target = ""
        pending.unanswered[target] += 1
        request = messages.ChangeRequest(self._node, pending.change)
        return [interface.Send(target, request)]

    def _check_change(
        self,
        pending: _Change,
        controls: Sequence[status.ControlStatus],
        now: float,
    ) -> list[interface.EntryEffect]:
        problem = _check_room(
            pending.change.operation, controls, self._follower.configuration
        )
        if not problem:
            pending.checked = True
            return self._push_change(pending, now)
        change_id = pending.change.change_id
        del self._changes[change_id]
        outcome = changes.Outcome(
            change_id, False, self._follower.version, "does_not_fit", problem
        )
        return [interface.AnswerChange(change_id, outcome)]

    # Questions.

    def ask_status(self, token: str, now: float) -> list[interface.EntryEffect]:
        """Asks every control process for its status."""
        return self._gather(token, now)

    def receive_status(
        self, reply: status.StatusReply, now: float
    ) -> list[interface.EntryEffect]:
        """Takes one control process's status."""
        gathering = self._gatherings.get(reply.token)
        if gathering is None:
            return []
        gathering.controls[reply.status.node] = reply.status
        if len(gathering.controls) < len(self._controls):
            return []
        return self._finish_gathering(reply.token, now)

    def _gather(self, token: str, now: float) -> list[interface.EntryEffect]:
        self._gatherings[token] = _Gathering(now)
        request = status.StatusRequest(self._node, token)
        return [interface.Send(node, request) for node in self._controls]

    def _finish_gathering(
        self, token: str, now: float
    ) -> list[interface.EntryEffect]:
        gathering = self._gatherings.pop(token)
        found = tuple(s for _, s in sorted(gathering.controls.items()))
        change_id = _get_checked(token)
        if change_id is None:
            return [interface.AnswerStatus(token, found)]
        pending = self._changes.get(change_id)
        return self._check_change(pending, found, now) if pending else []

    def ask_explain(
        self, token: str, request_id: str, now: float
    ) -> list[interface.EntryEffect]:
        """Asks the entry that took a request, which may be this one."""
        owner = nodes.parse_entry_node(request_id)
        if owner == self._node:
            return [
                interface.AnswerExplain(token, self.explain(token, request_id))
            ]
        zone = nodes.get_zone(owner) if owner else ""
        relays = [n for n in self._controls if nodes.get_zone(n) == zone]
        if not relays:
            not_found = status.ExplainReply(token, found=False)
            return [interface.AnswerExplain(token, not_found)]
        self._explains[token] = now
        request = status.ExplainRequest(self._node, token, request_id)
        return [interface.Send(node, request) for node in relays]

    def explain(self, token: str, request_id: str) -> status.ExplainReply:
        """Returns what happened to a request of this entry."""
        found = self._trails.get(request_id)
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

    def receive_explain(
        self, reply: status.ExplainReply
    ) -> list[interface.EntryEffect]:
        """Takes another entry's answer; several may come, the first counts."""
        if reply.token not in self._explains:
            return []
        return self._answer_explain(reply)

    def _answer_explain(
        self, reply: status.ExplainReply
    ) -> list[interface.EntryEffect]:
        del self._explains[reply.token]
        return [interface.AnswerExplain(reply.token, reply)]

    # The start of a cluster.

    def ask_founding(
        self, cluster: str, now: float
    ) -> list[interface.EntryEffect]:
        """Asks the control processes to start a cluster.

        They are asked in one order; the first one with a data folder does it.
        """
        self._foundings[cluster] = _Founding(now)
        request = messages.IdentityRequest(self._node)
        return [interface.Send(node, request) for node in self._controls]

    def receive_identity(
        self, reply: messages.IdentityReply
    ) -> list[interface.EntryEffect]:
        """Passes the request on to the first process with a data folder."""
        if not reply.member:
            return []
        effects: list[interface.EntryEffect] = []
        for cluster, founding in self._foundings.items():
            if not founding.passed_on:
                founding.passed_on = True
                request = messages.FoundRequest(self._node, cluster)
                effects.append(interface.Send(reply.node, request))
        return effects

    def receive_founding(
        self, reply: messages.FoundReply
    ) -> list[interface.EntryEffect]:
        """Takes the answer to the start of a cluster."""
        if reply.cluster not in self._foundings:
            return []
        return self._answer_founding(reply.cluster, reply.done, reply.detail)

    def _answer_founding(
        self, cluster: str, done: bool, detail: str
    ) -> list[interface.EntryEffect]:
        del self._foundings[cluster]
        return [interface.AnswerBootstrap(cluster, done, detail)]


_CHECK_PREFIX = "check:"


def _name_check(change_id: str) -> str:
    return _CHECK_PREFIX + change_id


def _get_checked(token: str) -> str | None:
    """Returns the change that a status was gathered for, if for one."""
    if token.startswith(_CHECK_PREFIX):
        return token[len(_CHECK_PREFIX) :]
    return None


def _check_room(
    operation: changes.Operation,
    controls: Sequence[status.ControlStatus],
    configuration: configuration_model.Configuration,
) -> str:
    """Returns why a change can never be placed; empty if it can.

    A zone in which no backend server has announced itself yet is not judged.
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
