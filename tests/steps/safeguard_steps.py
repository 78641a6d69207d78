"""Plays that break one safeguard at a time, to see the checkers fail."""

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

# Plays: each drives a deployment through one failure.


def play_member_dies(world):
    vm = next(
        vm
        for vm, s in sorted(world.servers.items())
        if s.state.rank == 1 and s.state.zone == "buda-hall"
    )
    world.kill_server(vm)
    for second in range(40):
        for node in world.entries:
            world.call_later(
                second, lambda n=node: world.submit(n, "assistant")
            )
    world.run(40)


def play_grantors_restart(world):
    zone = "buda-hall"
    old = operator_actions.list_lease_holders(world, zone)[0]
    for node in world.controls:
        if nodes.get_zone(node) == zone and node != old:
            world.start(node)
            world.partition(old, node)
    world.run(12)


def play_frames_doubled(world):
    answer = world.submit(world.entries[0], "assistant", max_tokens=60)
    world.run(1)
    request_id = answer.request.request_id
    frame = events.FrameArrived(f"{request_id}.1", request_id, 0, 1, "again")
    world.deliver(world.entries[0], frame)
    world.run(20)


def play_streams_move(world):
    answer = world.submit(world.entries[0], "assistant", max_tokens=60)
    world.run(1)
    server = next(s for s in world.servers.values() if s.streams)
    world.kill_server(server.state.vm)
    world.run(1)
    request_id = answer.request.request_id
    open_ = world.roles[world.entries[0]].dispatcher
    position = open_._pending[request_id].position
    late = events.FrameArrived(
        f"{request_id}.1", request_id, position, 1, "late"
    )
    world.deliver(world.entries[0], late)
    world.run(20)


def play_server_dies(world):
    for server in world.servers.values():
        server.service_s = 5.0
    world.submit(world.entries[0], "dispatch", key="k")
    world.run(1)
    for vm, server in world.servers.items():
        if server.is_plain:
            world.kill_server(vm)
    world.run(5)


def play_holders_restart(world):
    body = b"order"
    world.submit(world.entries[0], "dispatch", key="k", body=body)
    world.run(2)
    for node in world.controls:
        world.start(node)
    world.run(4)
    world.submit(world.entries[8], "dispatch", key="k", body=body, key_age_s=6)
    world.run(3)


def play_one_key_everywhere(world):
    world.isolate_zone("buda-hall")
    for node in world.entries:
        world.submit(node, "dispatch", key="k", body=b"order")
    world.run(4)


def play_server_leaves(world):
    server = next(
        s
        for s in world.servers.values()
        if s.state.rank == 0 and s.state.zone == "buda-hall"
    )
    server.member.leave()
    server.left_at = world.now
    for step in range(60):
        node = world.entries[step % 3]
        world.call_later(step / 5, lambda n=node: world.submit(n, "assistant"))
    world.run(15)


def play_versions_race(world):
    node = world.entries[0]
    role = world.roles[node]
    configuration = role.configuration

    older = attrs.evolve(configuration, version=configuration.version - 1)
    update = config_messages.ConfigurationUpdate(
        world.controls[1], True, False, "", older.version, older
    )
    world.send(world.controls[1], node, update)
    world.run(2)


PLAYS = {
    "member dies": play_member_dies,
    "grantors restart": play_grantors_restart,
    "frames doubled": play_frames_doubled,
    "streams move": play_streams_move,
    "server dies": play_server_dies,
    "holders restart": play_holders_restart,
    "one key everywhere": play_one_key_everywhere,
    "server leaves": play_server_leaves,
    "versions race": play_versions_race,
}


# Broken copies of safeguards.


def break_take_frame(self, frame, now):
    opened = self._find_pending(frame.attempt_id)
    if opened is None:
        return []
    opened.current_attempt.last_frame_at = now
    opened.position += frame.tokens
    effects = [events.EmitText(opened.request.request_id, frame.text)]
    if frame.finish_reason:
        effects += self._finish_stream(opened, frame, now)
    return effects


def break_find(self, attempt_id):
    opened = self._pending.get(attempt_id.rpartition(".")[0])
    return opened if opened and opened.current_attempt else None


def break_fail_attempt(self, opened, verdict, reason, retry_after_s, now):
    return WHOLE_FAIL(self, opened, Verdict.NOT_RUN, reason, retry_after_s, now)


def break_receive_claim(self, reply, now):
    if reply.state == claim_messages.GRANTED:
        self.result = "granted"
        return []
    return WHOLE_CLAIM(self, reply, now)


def break_adopt(self, configuration):
    self.configuration = configuration
    return True


def break_holder(self, **options):
    WHOLE_HOLDER(self, **options)
    self._min_made_at = 0.0


def break_lease(self, **options):
    WHOLE_LEASE(self, **options)
    self._abstains_until = self._next_attempt_at = options["now"]


def break_may_order(self, now):
    # Believes in the lease for as long as orders could be under way.
    return self._number > 0 and now < self._held_until + 10


def break_is_whole(group, members):
    return all(
        vm in members and members[vm].state.group == group.name
        for vm in group.vms
    )


def break_list_free(self, domain, weights):
    # Takes VMs that belong to other groups, too.
    return [
        vm
        for vm, member in sorted(self._members.items())
        if domain is None or member.state.domain == domain
    ]


WHOLE_FAIL = dispatcher.Dispatcher._fail_attempt
WHOLE_CLAIM = claimant.Claimant.receive
WHOLE_HOLDER = claim_holder.ClaimHolder.__init__
WHOLE_LEASE = zone_lease.ZoneLease.__init__

BREAKS = {
    "only free VMs join a group": (
        planner.Planner,
        "_list_free",
        break_list_free,
    ),
    "only whole groups serve": (
        groups,
        "is_ready",
        lambda group, members: any(vm in members for vm in group.vms),
    ),
    "a lost domain is noticed": (
        announcement_receiver,
        "ANNOUNCEMENT_TIMEOUT_S",
        1e9,
    ),
    "restarted grantors stay silent": (
        (zone_lease.ZoneLease, "__init__", break_lease),
        (zone_lease, "LONGEST_ORDER_S", 0.0),
    ),
    "orders wait out the old lease": (
        zone_lease.ZoneLease,
        "may_issue_orders",
        break_may_order,
    ),
    "frames must fit the position": (
        dispatcher.Dispatcher,
        "_handle_frame",
        break_take_frame,
    ),
    "former attempts are dropped": (
        dispatcher.Dispatcher,
        "_find_pending",
        break_find,
    ),
    "only signed refusals are not run": (
        dispatcher.Dispatcher,
        "_fail_attempt",
        break_fail_attempt,
    ),
    "forgotten keys are refused": (
        claim_holder.ClaimHolder,
        "__init__",
        break_holder,
    ),
    "a majority must grant": (
        claimant.Claimant,
        "receive",
        break_receive_claim,
    ),
    "leaving servers are not whole": (
        (groups, "is_ready", break_is_whole),
        (planner.Planner, "_must_leave", lambda self, vm: False),
        (table.ReplicaTable, "withdraw", lambda self, withdrawal: None),
    ),
    "followers never go back": (follower.Follower, "adopt", break_adopt),
}


@given('the play "{play}" passes with every safeguard whole')
def _(context, play):
    context.play = PLAYS[play]
    context.play(deployments.build())


@when('the safeguard "{safeguard}" is broken')
def _(context, safeguard):
    broken = BREAKS[safeguard]
    if not isinstance(broken[0], tuple):
        broken = (broken,)
    context.patches = [mock.patch.object(*one) for one in broken]


@then('the play fails in "{checker}"')
def _(context, checker):
    world = deployments.build()
    found = "nothing"
    with contextlib.ExitStack() as stack:
        for patch in context.patches:
            stack.enter_context(patch)
        try:
            context.play(world)
        except AssertionError as error:
            frames = traceback.extract_tb(error.__traceback__)
            found = frames[-1].name
    assert found == checker, f"it failed in {found}"
