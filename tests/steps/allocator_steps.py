"""Steps about the permits that coordinators give out."""

from __future__ import annotations

from behave import given, then, when
from support import limitfaults

from hickorylead.ratelimits import allocator, limit_table, messages

STEP_S = 0.05
SERVER = "s1"


class Giver:
    """A coordinator that gives out permits, with when and how long."""

    def __init__(self, known, *, is_fresh=True):
        self.subject = allocator.Allocator()
        self.known = known
        self.is_fresh = is_fresh

    def ask(self, wanted, now, *, is_needed=False, returned=0):
        """Asks for permits; returns the reply."""
        limit = messages.RateLimit(SERVER, 0, self.known.per_s, True, 0, 0)
        return self.subject.allocate(
            messages.Ask(limit, wanted, is_needed, returned),
            self.known,
            is_fresh=self.is_fresh,
            now=now,
        )


def ask_all(context, givers, seconds):
    """Has gateways ask some coordinators for all that they can get."""
    for _ in range(round(seconds / STEP_S)):
        for giver in givers:
            reply = giver.ask(allocator.MAX_PERMITS, context.now)
            lease_s = reply.lease_ms / 1000.0
            context.given += [(context.now, lease_s)] * reply.count
        context.now += STEP_S


@given("a limit of {limit:g} a second that has just been named")
def _(context, limit):
    context.now = 100.0
    context.limit = limit
    context.known = limit_table.KnownLimit(
        0, limit, True, context.now, context.now
    )
    context.giver = Giver(context.known)
    context.given = []


@when(
    "gateways ask one coordinator for all they can get for {seconds:g} seconds"
)
def _(context, seconds):
    ask_all(context, [context.giver], seconds)


@when(
    "another one takes over, while the first is asked for {seconds:g} seconds "
    "more"
)
def _(context, seconds):
    second = Giver(context.known)
    ask_all(context, [context.giver, second], seconds)
    ask_all(context, [second], 10.0)


@when("gateways ask two coordinators without a leader for {seconds:g} seconds")
def _(context, seconds):
    givers = [Giver(context.known, is_fresh=False) for _ in range(2)]
    ask_all(context, givers, seconds)


@when(
    "gateways ask for all they can get, and one needs one each {each_s:g} "
    "seconds"
)
def _(context, each_s):
    context.asked = context.needed = context.others = 0
    for step in range(round(20 / STEP_S)):
        if step % round(each_s / STEP_S) == 0:
            context.asked += 1
            reply = context.giver.ask(1, context.now, is_needed=True)
            context.needed += reply.count
        context.others += context.giver.ask(8, context.now).count
        context.now += STEP_S


@when("a gateway gives {count:d} permits back that it did not use")
def _(context, count):
    first = context.giver.ask(8, context.now)
    assert first.count == 3, first
    context.giver.ask(0, context.now, returned=count)


@then(
    "no window of {window_s:g} seconds sees more requests than the limit allows"
)
def _(context, window_s):
    assert window_s == limitfaults.WINDOW_S
    allowed = limitfaults.find_allowed(context.limit)
    for begin, _ in context.given:
        # Used as late as may be before the window, and at once within it.
        seen = sum(
            at < begin + window_s and at + lease_s > begin
            for at, lease_s in context.given
        )
        assert seen <= allowed, (seen, allowed, begin)


@then("all that the server takes is given out")
def _(context):
    taken = context.limit * (context.now - 100.0)
    assert len(context.given) >= taken - 1, (len(context.given), taken)


@then("{count:d} permits were given out")
def _(context, count):
    assert len(context.given) == count, context.given


@then("over 20 seconds that one gets all it needs, and the others the rest")
def _(context):
    assert context.needed == context.asked, (context.needed, context.asked)
    rest = 20 * context.limit - context.needed
    assert context.others >= 0.9 * rest, (context.others, rest)


@then("another one gets {count:d} more at the same moment")
def _(context, count):
    found = context.giver.ask(8, context.now)
    assert found.count == count, found
