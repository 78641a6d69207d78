"""Steps about requests whose bodies have not arrived completely."""

from __future__ import annotations

import re

import attrs
from behave import given, then, when
from support import forwarder_harness

from hickorylead import notes
from hickorylead.forwarding import events

OPENED_AT = 50.0


def open_request(context, route, allows) -> None:
    """Passes the head of a request to a forwarder."""
    found = re.match(r"(\d+) s", allows)
    context.harness = forwarder_harness.ForwarderHarness(plain=1)
    context.effects = context.harness.forwarder.handle(
        events.RequestOpened(
            "r-1", "a-1", route, float(found[1]) if found else None
        ),
        OPENED_AT,
    )


@given(
    "a request to a route with a timeout of {timeout:d} s whose caller allows"
    " {allows}"
)
def _(context, timeout, allows):
    route = next(iter(forwarder_harness.ROUTES.values()))
    route = attrs.evolve(route, timeout_s=float(timeout))
    open_request(context, route, allows)


@when("{seconds:g} s after its head its body is not complete")
def _(context, seconds):
    context.effects += context.harness.forwarder.tick(OPENED_AT + seconds)


@then("nothing has happened to it")
def _(context):
    assert context.effects == [], context.effects


@then("it is refused with status {status:d}, which says that it has not run")
def _(context, status):
    refusal, note = context.effects
    assert refusal == events.Refuse("r-1", status, "body_timeout"), refusal
    assert isinstance(note, notes.Note), note
    assert note.fields["attempt_id"] == "a-1", note
