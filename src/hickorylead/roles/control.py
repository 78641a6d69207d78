"""The reducer of a control process.

A control process holds claims, takes part in its zone's lease, follows the
configuration, and is a voter of the configuration log if it has a data folder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.claims import (
    claim_holder,
    messages as claim_messages,
)
from hickorylead.configuration import changes, follower, messages
from hickorylead.consensus import (
    messages as consensus_messages,
    voter as voter_module,
)
from hickorylead.crashes import (
    crash_tracker as crash_tracker_module,
    messages as crash_messages,
)
from hickorylead.lease import messages as lease_messages, zone_lease
from hickorylead.membership import (
    announcements,
    messages as member_messages,
    registry as registry_module,
)
from hickorylead.placement import planner
from hickorylead.roles import (
    bootstrap,
    interface,
    nodes,
    status,
    zone_controller,
)
from hickorylead.routing import messages as routing_messages

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    import random

    from hickorylead.placement import groups as groups_module


@attrs.frozen
class Identity:
    """Identity of a control process.

    Attributes:
        node: Its node name.
        control_nodes: All control processes of all zones, from the settings.
        incarnation: Incarnation of this voter, as recorded in its data
            folder; empty without a data folder.
    """

    node: str
    control_nodes: tuple[str, ...]
    incarnation: str = ""


class Control:
    """State of one control process."""

    def __init__(
        self,
        identity: Identity,
        *,
        policy: planner.Policy,
        max_skew_s: float,
        records: Sequence[consensus_messages.Record],
        rng: random.Random,
        now: float,
        wall_time: float,
    ) -> None:
        """Initializes a control process that has just started.

        Args:
            identity: Its identity.
            policy: Trade-off between downtime and stranded accelerators.
            max_skew_s: Largest difference between any two clocks.
            records: Records of its journal, if it has a data folder.
            rng: Source of the jitter of timeouts.
            now: Monotonic time.
            wall_time: Wall-clock time, in Unix seconds.
        """
        self._identity = identity
        self._other_controls = tuple(
            n for n in identity.control_nodes if n != identity.node
        )
        self._zone = nodes.get_zone(identity.node)
        by_zone = nodes.group_by_zone(identity.control_nodes)
        zone_controls = by_zone[self._zone]
        self._voter: voter_module.Voter | None = None
        self._follower = follower.Follower(
            node=identity.node,
            controls=zone_controls,
            all_controls=identity.control_nodes,
        )
        if identity.incarnation:
            self._voter = voter_module.Voter(
                node=identity.node,
                incarnation=identity.incarnation,
                peers=self._other_controls,
                rng=rng,
                now=now,
            )
            self._voter.restore(records)
            self._follower.adopt(self._voter.configuration)
        self._lease = zone_lease.ZoneLease(
            node=identity.node, nodes=zone_controls, rng=rng, now=now
        )
        self._registry = registry_module.MembershipRegistry()
        self._zone_controller = zone_controller.ZoneController(
            node=identity.node,
            controls=identity.control_nodes,
            registry=self._registry,
            lease=self._lease,
            policy=policy,
            now=now,
        )
        self._claims = claim_holder.ClaimHolder(
            node=identity.node, started_at=wall_time, max_skew_s=max_skew_s
        )
        self._crashes = crash_tracker_module.CrashTracker(identity.node)
        self._next_resend = now
        self._requesters: dict[str, str] = {}
        self._bootstrap = bootstrap.ClusterBootstrap(
            node=identity.node, controls=identity.control_nodes
        )

    @property
    def version(self) -> int:
        """Version of the configuration that this process holds."""
        return self._follower.version

    @property
    def voter(self) -> voter_module.Voter | None:
        """Voter of the configuration log, if there is a data folder."""
        return self._voter

    @property
    def groups(self) -> Mapping[str, groups_module.Group]:
        """Replica groups, as of when this process last held the lease."""
        return self._zone_controller.groups

    def may_issue_orders(self, now: float) -> bool:
        """Returns whether an order may be issued.

        Callers check this right before they send each order.
        """
        return self._zone_controller.may_issue_orders(now)

    def reduce(
        self, event: interface.ControlEvent, now: float
    ) -> list[interface.ControlEffect]:
        """Handles one event and returns the effects to carry out."""
        match event:
            case interface.Tick():
                return self._tick(now)
            case interface.MessageArrived(sender, message, wall_time):
                return self._receive(sender, message, now, wall_time)

    def _tick(self, now: float) -> list[interface.ControlEffect]:
        effects: list[interface.ControlEffect] = []
        if self._voter is not None:
            effects += self._convert_voter_effects(self._voter.tick(now), now)
            if self._voter.is_ready_leader(now):
                self._follower.ready = True
        self._registry.tick(now)
        effects += _convert_effects(self._lease.tick(now))
        effects += _convert_effects(self._follower.collect_messages(now))
        configuration = (
            self._follower.configuration if self._follower.ready else None
        )
        effects += self._send_blocks(now)
        return effects + _convert_effects(
            self._zone_controller.tick(configuration, now)
        )

    # Requests under which servers end.

    def _handle_crash_update(
        self, update: crash_messages.CrashNews, now: float
    ) -> list[interface.ControlEffect]:
        is_forwarded = update.sender in self._other_controls
        others = () if is_forwarded else self._other_controls
        return _send_all(self._crashes.merge(update, others, now))

    def _send_blocks(self, now: float) -> list[interface.ControlEffect]:
        """Reports blocked requests to the zone's entries, then repeats this.

        The other control processes get the evidence again as well: all control
        processes of a zone may have restarted and lost the evidence.
        """
        entries = sorted(self._registry.entries)
        # Entries detect which replicas ended. Nothing is sent before an entry
        # has reported an ended replica.
        sent, _ = self._crashes.tick(lambda _: False, entries, now)
        if now >= self._next_resend:
            self._next_resend = now + crash_tracker_module.FULL_SYNC_PERIOD_S
            if self._crashes.count_blocked():
                update = self._crashes.make_block_update(now)
                sent = [(node, update) for node in entries]
                evidence = self._crashes.make_evidence_update(now)
                sent += [(n, evidence) for n in self._other_controls]
        return _send_all(sent)

    def _receive(
        self,
        sender: str,
        message: interface.Message,
        now: float,
        wall_time: float,
    ) -> list[interface.ControlEffect]:
        match message:
            case (
                member_messages.Edge()
                | member_messages.Gone()
                | member_messages.Digest()
                | member_messages.ResendRequest()
            ):
                return self._receive_membership(message, now)
            case (
                claim_messages.ClaimRequest()
                | claim_messages.ClaimReply()
                | claim_messages.ClaimRelease()
                | claim_messages.ClaimFinish()
            ):
                return _convert_effects(
                    self._claims.receive(message, wall_time)
                )
            case crash_messages.CrashNews():
                return self._handle_crash_update(message, now)
            case lease_messages.LeaseRequest() | lease_messages.LeaseReply():
                return _convert_effects(self._lease.receive(message, now))
            case (
                routing_messages.TableUpdate()
                | routing_messages.TableRequest()
                | routing_messages.Withdrawal()
            ):
                return _convert_effects(
                    self._zone_controller.receive(message, sender, now)
                )
            case (
                consensus_messages.VoteRequest()
                | consensus_messages.VoteReply()
                | consensus_messages.AppendRequest()
                | consensus_messages.AppendReply()
                | consensus_messages.SnapshotRequest()
                | consensus_messages.JoinRequest()
            ):
                if self._voter is None:
                    return []
                return self._convert_voter_effects(
                    self._voter.receive(message, now), now
                )
            case status.StatusRequest(entry, token):
                reply = status.StatusReply(token, self.get_status(now))
                return [interface.Send(entry, reply)]
            case status.ExplainRequest(_, _, request_id):
                entry_node = nodes.parse_entry_node(request_id)
                if entry_node not in self._registry.entries:
                    return []
                return [interface.Send(entry_node, message)]
            case status.ExplainReply(asker=requester):
                return [interface.Send(requester, message)]
            case status.StatusReply():
                return []
            case _ if isinstance(message, messages.Message):
                return self._receive_configuration(message, now)
            case _:
                # The message is for a coordinator or a gateway: it was sent to
                # a wrong address.
                return []

    def _receive_membership(
        self, message: member_messages.Message, now: float
    ) -> list[interface.ControlEffect]:
        effects = _convert_effects(self._registry.receive(message, now))
        match message:
            case member_messages.Digest(entry=entry, fence=fence):
                self._lease.observe_fencing_number(fence)
                if message.configuration < self._follower.version:
                    update = self._make_update(message.configuration, now)
                    effects.append(interface.Send(entry, update))
            case member_messages.Edge(state=state):
                self._lease.observe_fencing_number(state.fence)
                if state.phase == announcements.PHASE_LEAVING:
                    effects += _convert_effects(
                        self._zone_controller.withdraw(state)
                    )
        return effects

    # The configuration.

    def _receive_configuration(
        self, message: messages.Message, now: float
    ) -> list[interface.ControlEffect]:
        match message:
            case messages.ConfigurationRequest(node, version):
                return [interface.Send(node, self._make_update(version, now))]
            case messages.ConfigurationUpdate():
                is_new = self._follower.handle_update(message, now)
                return self._send_update_to_entries(now) if is_new else []
            case messages.ChangeRequest(entry, change):
                return self._handle_change(entry, change, now)
            case messages.IdentityRequest(node):
                member = self._voter.member if self._voter else ""
                cluster = self._voter.cluster if self._voter else ""
                identity = messages.IdentityReply(
                    self._identity.node, member, cluster
                )
                return [interface.Send(node, identity)]
            case messages.FoundRequest():
                return _convert_effects(self._bootstrap.start(message))
            case messages.IdentityReply():
                return self._handle_identity(message, now)
            case messages.ChangeReply() | messages.FoundReply():
                return []

    def _make_update(
        self, known_version: int, now: float
    ) -> messages.ConfigurationUpdate:
        update = messages.ConfigurationUpdate(
            sender=self._identity.node,
            ready=self._follower.ready,
            from_leader=bool(self._voter and self._voter.is_ready_leader(now)),
            leader=self._find_leader(now),
            version=self._follower.version,
        )
        if self._follower.version <= known_version:
            return update
        return attrs.evolve(update, configuration=self._follower.configuration)

    def _find_leader(self, now: float) -> str:
        """Returns the leader of the log; empty if it is unknown."""
        if self._voter is None:
            return self._follower.find_leader(now)
        if not self._voter.has_leader(now):
            return ""
        return consensus_messages.get_node(self._voter.leader)

    def _handle_change(
        self, entry: str, change: changes.Change, now: float
    ) -> list[interface.ControlEffect]:
        voter = self._voter
        if voter and voter.role == "leader" and voter.has_leader(now):
            self._requesters[change.change_id] = entry
            return self._convert_voter_effects(voter.propose(change, now), now)
        leader = self._find_leader(now)
        if leader == self._identity.node:
            leader = ""
        outcome = changes.Outcome(
            change.change_id,
            accepted=False,
            version=self._follower.version,
            reason="no_leader",
            detail="no leader with a majority of the voters is known here",
        )
        return [
            interface.Send(
                entry, messages.ChangeReply(outcome, False, leader=leader)
            )
        ]

    def _convert_voter_effects(
        self, effects: Iterable[consensus_messages.Effect], now: float
    ) -> list[interface.ControlEffect]:
        wrapped: list[interface.ControlEffect] = []
        for effect in effects:
            match effect:
                case consensus_messages.Send(node, message):
                    wrapped.append(interface.Send(node, message))
                case consensus_messages.Persist():
                    wrapped.append(effect)
                case consensus_messages.Apply(configuration):
                    if self._follower.adopt(configuration):
                        wrapped += self._send_update_to_controls(now)
                        wrapped += self._send_update_to_entries(now)
                case consensus_messages.Answer(outcome):
                    wrapped += self._reply_to_change(outcome, final=True)
                case consensus_messages.Abandon(change_id):
                    outcome = changes.Outcome(
                        change_id,
                        accepted=False,
                        version=self._follower.version,
                        reason="leader_lost",
                        detail="the leader lost its majority",
                    )
                    wrapped += self._reply_to_change(outcome, final=False)
        return wrapped

    def _reply_to_change(
        self, outcome: changes.Outcome, *, final: bool
    ) -> list[interface.ControlEffect]:
        entry = self._requesters.pop(outcome.change_id, None)
        if entry is None:
            return []
        reply = messages.ChangeReply(outcome, final, lost=not final)
        return [interface.Send(entry, reply)]

    def _send_update_to_controls(
        self, now: float
    ) -> list[interface.ControlEffect]:
        if self._voter is None or self._voter.role != "leader":
            return []
        update = self._make_update(-1, now)
        return [
            interface.Send(node, update)
            for node in self._identity.control_nodes
            if node != self._identity.node
        ]

    def _send_update_to_entries(
        self, now: float
    ) -> list[interface.ControlEffect]:
        update = self._make_update(-1, now)
        return [
            interface.Send(entry, update)
            for entry in sorted(self._registry.entries)
        ]

    def _handle_identity(
        self, reply: messages.IdentityReply, now: float
    ) -> list[interface.ControlEffect]:
        decision = self._bootstrap.handle_identity_reply(reply)
        if decision is None or self._voter is None:
            return []
        effects: list[interface.ControlEffect] = []
        if decision.voters:
            cluster = decision.reply.cluster
            voter_effects = self._voter.bootstrap(cluster, decision.voters)
            effects += self._convert_voter_effects(voter_effects, now)
        return [*effects, interface.Send(decision.entry, decision.reply)]

    # Status.

    def get_status(self, now: float) -> status.ControlStatus:
        """Returns its status and, as the lease holder, its zone's status."""
        is_holder = self._lease.is_held(now)
        return status.ControlStatus(
            node=self._identity.node,
            zone=self._zone,
            version=self._follower.version,
            preset=self._follower.configuration.preset,
            leader=self._find_leader(now),
            is_leader=bool(self._voter and self._voter.is_ready_leader(now)),
            is_holder=is_holder,
            fence=self._lease.fencing_number if is_holder else 0,
            members=len(self._registry.members),
            largest_domain=self._zone_controller.find_largest_domain(),
            stranded=self._zone_controller.count_stranded() if is_holder else 0,
            downtime_s=round(self._zone_controller.downtime_s, 3),
            services=self._zone_controller.services if is_holder else (),
            groups=self._zone_controller.describe_groups() if is_holder else (),
            entries=tuple(
                status.EntryStatus(name, record.configuration)
                for name, record in sorted(self._registry.entries.items())
            ),
        )


def _send_all(
    sent: Iterable[crash_tracker_module.Sent],
) -> list[interface.ControlEffect]:
    return [interface.Send(node, message) for node, message in sent]


def _convert_effects(effects: Iterable) -> list[interface.ControlEffect]:
    """Converts effects of the components to effects of the role."""
    return [
        effect
        if isinstance(effect, planner.orders.SendOrder)
        else interface.Send(effect.node, effect.message)
        for effect in effects
    ]
