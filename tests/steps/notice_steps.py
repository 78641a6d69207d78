"""Steps about servers that ask for a pause, or say that they leave."""

from __future__ import annotations

from behave import given, then, when
from support import noticeplay


@given("a fleet of {gateways:d} gateways and {servers:d} servers with callers")
def _(context, gateways, servers):
    context.play = noticeplay.make_play(gateways, servers)


@when(
    "two heads turn requests away and ask for {pause:g} seconds, "
    "for {seconds:g} seconds"
)
def _(context, pause, seconds):
    play = context.play
    context.heads = noticeplay.list_used(play)[:2]
    play.pausing = dict.fromkeys(context.heads, pause)
    context.began_at = play.world.now
    noticeplay.send(play, seconds)


@then(
    "no gateway sends over {most:d} requests in a pause that it was asked for"
)
def _(context, most):
    assert most == noticeplay.MOST_IN_PAUSE
    assert context.play.refusals
    found = noticeplay.find_most_in_pause(context.play)
    assert found <= most, found


@when("a head says with its answers that it leaves, for {seconds:g} seconds")
def _(context, seconds):
    play = context.play
    context.head = noticeplay.list_used(play)[0]
    play.leaving.add(context.head)
    noticeplay.send(play, seconds)


@then(
    "no gateway sends it a request that came {late_s:g} seconds after it was "
    "told"
)
def _(context, late_s):
    assert late_s == noticeplay.DRAIN_S
    assert context.play.told_leaving
    found = noticeplay.list_late(context.play)
    assert not found, found
