"""Steps for the checker of configurations in the soak."""

from __future__ import annotations

from behave import given, then, when
from soak import configuration_checker

GATEWAY = "g#1"


def make_probe(at, version, status=200, route="desk", first=5):
    label = f"{version}-d{version}" if status == 200 else ""
    return configuration_checker.Probe(
        GATEWAY, route, first, at, at + 0.01, status, label
    )


@given("versions 5, 7 and 9 that were acknowledged at 10, 20 and 30 s")
def _(context):
    context.checker = configuration_checker.ConfigurationChecker(apply_s=2.5)
    for number, at in ((5, 10.0), (7, 20.0), (9, 30.0)):
        version = context.checker.record_sent(number, f"d{number}")
        context.checker.record_answer(version, 200, at)


@when("a gateway in touch obeys version {version:d} at {at:g} s")
def _(context, version, at):
    context.checker.record_probe(make_probe(at, version))


@when("a gateway in touch has no route of version 9 at {at:g} s")
def _(context, at):
    probe = make_probe(at, 9, status=404, route="new-9", first=9)
    context.checker.record_probe(probe)


@when("a gateway that was stopped at 32 s obeys version 7 at 33 s")
def _(context):
    context.checker.record_disturbance("g", 32.0, 32.5)
    context.checker.record_probe(make_probe(33.0, 7))


@when("a gateway obeys version 7 at 36 s after a coordinator was stopped")
def _(context):
    context.checker.record_disturbance("", 31.0, 34.0)
    context.checker.record_probe(make_probe(36.0, 7))


@when("added routes are refused in calm")
def _(context):
    for number in range(30):
        at = 40.0 + number
        context.checker.record_probe(make_probe(at, 9))
        refused = make_probe(at, 9, status=503, route="new-9", first=9)
        context.checker.record_probe(refused)


@when("version 9 is sent again and refused")
def _(context):
    version = context.checker.versions[9]
    context.checker.record_answer(version, 409, 35.0)


@when("version 9 is sent again and acknowledged")
def _(context):
    version = context.checker.versions[9]
    context.checker.record_answer(version, 200, 35.0)


@when("version 9 is read with other content")
def _(context):
    context.checker.record_read(40.0, 9, "other")


@when("version {version:d} is read at {at:d} s")
def _(context, version, at):
    context.checker.record_read(float(at), version, f"d{version}")


@when("version 7 is read at the end")
def _(context):
    context.checker.record_read(31.0, 7, "d7", is_last=True)


@when("a gateway obeys version 7 after version 9")
def _(context):
    context.checker.record_probe(make_probe(31.0, 9))
    context.checker.record_probe(make_probe(31.5, 7))


@when("an invalid configuration is acknowledged")
def _(context):
    context.checker.record_invalid(11, "bad", 200)


@when("a gateway obeys an invalid configuration")
def _(context):
    context.checker.record_invalid(11, "bad", 400)
    probe = configuration_checker.Probe(
        GATEWAY, "desk", 5, 31.0, 31.1, 200, "11-bad"
    )
    context.checker.record_probe(probe)


@when("ten requests are answered 1 s after their timeout")
def _(context):
    for number in range(10):
        context.checker.record_timeout(GATEWAY, 1.0, 40.0 + number)


@then("it reports nothing")
def _(context):
    context.checker.finish()
    assert not context.checker.violations, context.checker.violations


@then("it reports {promise}")
def _(context, promise):
    context.checker.finish()
    found = {line.partition(":")[0] for line in context.checker.violations}
    assert found == {promise}, context.checker.violations
