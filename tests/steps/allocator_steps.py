"""Steps about the permits that coordinators grant."""

from __future__ import annotations

from behave import given, then, when
from support import limit_schedules

from hickorylead.ratelimits import allocator, limit_table, messages

STEP_S = 0.05
SERVER = "s1"


class GrantingCoordinator:
    """A coordinator that grants permits for one limit."""

    def __init__(self, known, *, has_recent_leader=True):
        self.subject = allocator.Allocator()
        self.known = known
        self.has_recent_leader = has_recent_leader

    def request_permits(self, wanted, now, *, is_needed=False, returned=0):
        """Requests permits; returns the reply."""
        limit = messages.RateLimit(SERVER, 0, self.known.per_s, True, 0, 0)
        return self.subject.allocate(
            messages.Ask(limit, wanted, is_needed, returned),
            self.known,
            has_recent_leader=self.has_recent_leader,
            now=now,
        )


def request_all(context, coordinators, seconds):
    """Requests all available permits from some coordinators, repeatedly."""
    for _ in range(round(seconds / STEP_S)):
        for coordinator in coordinators:
            reply = coordinator.request_permits(
                allocator.MAX_PERMITS, context.now
            )
            lease_s = reply.lease_ms / 1000.0
            context.granted += [(context.now, lease_s)] * reply.count
        context.now += STEP_S


@given("a limit of {limit:g} a second that was just reported")
def _(context, limit):
    context.now = 100.0
    context.limit = limit
    context.known = limit_table.KnownLimit(
        0, limit, True, context.now, context.now
    )
    context.coordinator = GrantingCoordinator(context.known)
    context.granted = []


@when(
    "gateways request all permits they can get from one coordinator for "
    "{seconds:g} seconds"
)
def _(context, seconds):
    request_all(context, [context.coordinator], seconds)


@when(
    "another coordinator takes over, while the first coordinator gets requests "
    "for {seconds:g} seconds more"
)
def _(context, seconds):
    second = GrantingCoordinator(context.known)
    request_all(context, [context.coordinator, second], seconds)
    request_all(context, [second], 10.0)


@when(
    "gateways request permits from two coordinators without a leader for "
    "{seconds:g} seconds"
)
def _(context, seconds):
    coordinators = [
        GrantingCoordinator(context.known, has_recent_leader=False)
        for _ in range(2)
    ]
    request_all(context, coordinators, seconds)


@when(
    "gateways request all permits they can get, and one gateway needs a permit "
    "every {interval_s:g} seconds"
)
def _(context, interval_s):
    context.needed_count = context.needed_granted = context.others_granted = 0
    for step in range(round(20 / STEP_S)):
        if step % round(interval_s / STEP_S) == 0:
            context.needed_count += 1
            reply = context.coordinator.request_permits(
                1, context.now, is_needed=True
            )
            context.needed_granted += reply.count
        context.others_granted += context.coordinator.request_permits(
            8, context.now
        ).count
        context.now += STEP_S


@when("a gateway returns {count:d} permits that it did not use")
def _(context, count):
    first = context.coordinator.request_permits(8, context.now)
    assert first.count == 3, first
    context.coordinator.request_permits(0, context.now, returned=count)


@then(
    "in any {window_s:g} seconds gateways can send no more requests than the "
    "limit allows"
)
def _(context, window_s):
    assert window_s == limit_schedules.WINDOW_S
    allowed = limit_schedules.get_allowed_requests(context.limit)
    for start, _ in context.granted:
        # A permit granted before the window may be used in the window while its
        # lease lasts; a permit granted in the window may be used at once.
        usable = sum(
            at < start + window_s and at + lease_s > start
            for at, lease_s in context.granted
        )
        assert usable <= allowed, (usable, allowed, start)


@then("permits are granted for all requests that the server accepts")
def _(context):
    accepted = context.limit * (context.now - 100.0)
    assert len(context.granted) >= accepted - 1, (
        len(context.granted),
        accepted,
    )


@then("{count:d} permits were granted")
def _(context, count):
    assert len(context.granted) == count, context.granted


@then(
    "over 20 seconds that gateway gets all permits that it needs, and the "
    "others get the rest"
)
def _(context):
    assert context.needed_granted == context.needed_count, (
        context.needed_granted,
        context.needed_count,
    )
    rest = 20 * context.limit - context.needed_granted
    assert context.others_granted >= 0.9 * rest, (context.others_granted, rest)


@then("another gateway gets {count:d} more permits at the same moment")
def _(context, count):
    found = context.coordinator.request_permits(8, context.now)
    assert found.count == count, found
