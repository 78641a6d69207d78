"""Fault scenarios that show that a checker fails without its safeguard."""

from __future__ import annotations

import contextlib
import traceback
from unittest import mock

import attrs
from behave import given, then, when
from support import deployments, operator_actions

from hickorylead.claims import (
    claim_holder,
    claimant,
    messages as claim_messages,
)
from hickorylead.configuration import follower, messages as config_messages
from hickorylead.lease import zone_lease
from hickorylead.membership import announcement_receiver
from hickorylead.placement import groups, planner
from hickorylead.requests import dispatcher, events
from hickorylead.roles import nodes
from hickorylead.routing import table
from hickorylead.verdict import Verdict

# Fault scenarios: each drives a deployment through one failure.


def kill_member(simulation):
    vm = next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.rank == 1 and s.state.zone == "buda-hall"
    )
    simulation.kill_server(vm)
    for second in range(40):
        for node in simulation.entries:
            simulation.call_later(
                second, lambda n=node: simulation.submit(n, "assistant")
            )
    simulation.run(40)


def restart_grantors(simulation):
    zone = "buda-hall"
    old = operator_actions.list_lease_holders(simulation, zone)[0]
    for node in simulation.controls:
        if nodes.get_zone(node) == zone and node != old:
            simulation.start(node)
            simulation.partition(old, node)
    simulation.run(12)


def repeat_frame(simulation):
    result = simulation.submit(
        simulation.entries[0], "assistant", max_tokens=60
    )
    simulation.run(1)
    request_id = result.request.request_id
    frame = events.FrameArrived(f"{request_id}.1", request_id, 0, 1, "again")
    simulation.deliver(simulation.entries[0], frame)
    simulation.run(20)


def deliver_late_frame(simulation):
    result = simulation.submit(
        simulation.entries[0], "assistant", max_tokens=60
    )
    simulation.run(1)
    server = next(s for s in simulation.servers.values() if s.streams)
    simulation.kill_server(server.state.vm)
    simulation.run(1)
    request_id = result.request.request_id
    request_dispatcher = simulation.roles[simulation.entries[0]].dispatcher
    position = request_dispatcher._pending[request_id].position
    late = events.FrameArrived(
        f"{request_id}.1", request_id, position, 1, "late"
    )
    simulation.deliver(simulation.entries[0], late)
    simulation.run(20)


def kill_plain_server(simulation):
    for server in simulation.servers.values():
        server.service_s = 5.0
    simulation.submit(simulation.entries[0], "dispatch", key="k")
    simulation.run(1)
    for vm, server in simulation.servers.items():
        if server.is_plain:
            simulation.kill_server(vm)
    simulation.run(5)


def restart_claim_holders(simulation):
    body = b"order"
    simulation.submit(simulation.entries[0], "dispatch", key="k", body=body)
    simulation.run(2)
    for node in simulation.controls:
        simulation.start(node)
    simulation.run(4)
    simulation.submit(
        simulation.entries[8], "dispatch", key="k", body=body, key_age_s=6
    )
    simulation.run(3)


def submit_key_at_every_entry(simulation):
    simulation.isolate_zone("buda-hall")
    for node in simulation.entries:
        simulation.submit(node, "dispatch", key="k", body=b"order")
    simulation.run(4)


def let_server_leave(simulation):
    server = next(
        s
        for s in simulation.servers.values()
        if s.state.rank == 0 and s.state.zone == "buda-hall"
    )
    server.member.leave()
    server.left_at = simulation.now
    for step in range(60):
        node = simulation.entries[step % 3]
        simulation.call_later(
            step / 5, lambda n=node: simulation.submit(n, "assistant")
        )
    simulation.run(15)


def send_older_version(simulation):
    node = simulation.entries[0]
    role = simulation.roles[node]
    configuration = role.configuration

    older = attrs.evolve(configuration, version=configuration.version - 1)
    update = config_messages.ConfigurationUpdate(
        simulation.controls[1], True, False, "", older.version, older
    )
    simulation.send(simulation.controls[1], node, update)
    simulation.run(2)


SCENARIOS = {
    "member dies": kill_member,
    "grantors restart": restart_grantors,
    "frame repeated": repeat_frame,
    "late frame of an earlier attempt": deliver_late_frame,
    "plain server dies": kill_plain_server,
    "claim holders restart": restart_claim_holders,
    "one key at every entry": submit_key_at_every_entry,
    "server leaves": let_server_leave,
    "older version received": send_older_version,
}


# Replacements for safeguards that leave out what the safeguard does.


def handle_any_frame(self, frame, now):
    pending = self._find_pending(frame.attempt_id)
    if pending is None:
        return []
    pending.current_attempt.last_frame_at = now
    pending.position += frame.tokens
    effects = [events.EmitText(pending.request.request_id, frame.text)]
    if frame.finish_reason:
        effects += self._finish_stream(pending, frame, now)
    return effects


def find_any_attempt(self, attempt_id):
    pending = self._pending.get(attempt_id.rpartition(".")[0])
    return pending if pending and pending.current_attempt else None


def fail_as_not_run(self, pending, verdict, reason, retry_after_s, now):
    return ORIGINAL_FAIL_ATTEMPT(
        self, pending, Verdict.NOT_RUN, reason, retry_after_s, now
    )


def accept_first_grant(self, reply, now):
    if reply.state == claim_messages.GRANTED:
        self.result = "granted"
        return []
    return ORIGINAL_RECEIVE(self, reply, now)


def adopt_any_version(self, configuration):
    self.configuration = configuration
    return True


def init_holder_without_wait(self, **options):
    ORIGINAL_HOLDER_INIT(self, **options)
    self._min_made_at = 0.0


def init_lease_without_wait(self, **options):
    ORIGINAL_LEASE_INIT(self, **options)
    self._abstains_until = self._next_attempt_at = options["now"]


def may_order_after_lease(self, now):
    # Treats the lease as held for another 10 s, longer than its orders can be
    # in flight.
    return self._number > 0 and now < self._held_until + 10


def is_ready_in_any_phase(group, members):
    return all(
        vm in members and members[vm].state.group == group.name
        for vm in group.vms
    )


def list_all_members(self, domain, weights):
    # Includes VMs that belong to other groups.
    return [
        vm
        for vm, member in sorted(self._members.items())
        if domain is None or member.state.domain == domain
    ]


ORIGINAL_FAIL_ATTEMPT = dispatcher.Dispatcher._fail_attempt
ORIGINAL_RECEIVE = claimant.Claimant.receive
ORIGINAL_HOLDER_INIT = claim_holder.ClaimHolder.__init__
ORIGINAL_LEASE_INIT = zone_lease.ZoneLease.__init__

BROKEN_SAFEGUARDS = {
    "only free VMs join a group": (
        planner.Planner,
        "_list_free",
        list_all_members,
    ),
    "only complete groups serve": (
        groups,
        "is_ready",
        lambda group, members: any(vm in members for vm in group.vms),
    ),
    "a lost domain is detected": (
        announcement_receiver,
        "ANNOUNCEMENT_TIMEOUT_S",
        1e9,
    ),
    "restarted grantors abstain": (
        (zone_lease.ZoneLease, "__init__", init_lease_without_wait),
        (zone_lease, "MAX_ORDER_DELAY_S", 0.0),
    ),
    "orders wait for the end of the old lease": (
        zone_lease.ZoneLease,
        "may_issue_orders",
        may_order_after_lease,
    ),
    "frames must fit the position": (
        dispatcher.Dispatcher,
        "_handle_frame",
        handle_any_frame,
    ),
    "frames of earlier attempts are dropped": (
        dispatcher.Dispatcher,
        "_find_pending",
        find_any_attempt,
    ),
    "only signed refusals count as not run": (
        dispatcher.Dispatcher,
        "_fail_attempt",
        fail_as_not_run,
    ),
    "keys from before a restart are refused": (
        claim_holder.ClaimHolder,
        "__init__",
        init_holder_without_wait,
    ),
    "a majority must grant": (
        claimant.Claimant,
        "receive",
        accept_first_grant,
    ),
    "groups with leaving servers are not ready": (
        (groups, "is_ready", is_ready_in_any_phase),
        (planner.Planner, "_must_leave", lambda self, vm: False),
        (table.ReplicaTable, "withdraw", lambda self, withdrawal: None),
    ),
    "followers reject older versions": (
        follower.Follower,
        "adopt",
        adopt_any_version,
    ),
}


@given('the fault scenario "{name}" passes with every safeguard intact')
def _(context, name):
    context.run_scenario = SCENARIOS[name]
    context.run_scenario(deployments.build())


@when('the safeguard "{safeguard}" is replaced by a broken copy')
def _(context, safeguard):
    replacements = BROKEN_SAFEGUARDS[safeguard]
    if not isinstance(replacements[0], tuple):
        replacements = (replacements,)
    context.patches = [mock.patch.object(*one) for one in replacements]


@then('the fault scenario fails in "{checker}"')
def _(context, checker):
    simulation = deployments.build()
    found = "nothing"
    with contextlib.ExitStack() as stack:
        for patch in context.patches:
            stack.enter_context(patch)
        try:
            context.run_scenario(simulation)
        except AssertionError as error:
            frames = traceback.extract_tb(error.__traceback__)
            found = frames[-1].name
    assert found == checker, f"the scenario failed in {found}"
