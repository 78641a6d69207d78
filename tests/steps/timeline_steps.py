"""Steps about the timeline of a request."""

from __future__ import annotations

import asyncio
import pathlib
import re

from behave import given, then, when
from support import platform_cluster

from hickorylead.telemetry import timelines

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden/platform"


async def run_reset_stream(cluster):
    """Runs a stream that is reset, and adds the log to the record."""
    await platform_cluster.run_resumed_stream(cluster)
    for process in [cluster.gateway, *cluster.coordinators]:
        process._log.flush()
    cluster.lines.append(cluster.log_path.read_text(encoding="utf-8"))


@given("the logs of a cluster in which a replica reset a stream")
def _(context):
    record = asyncio.run(platform_cluster.run_session(run_reset_stream))
    rows = [row for row in record.splitlines() if row.startswith("{")]
    context.log = "\n".join(rows) + "\n"
    found = re.findall(r'"attempt_id":"(a\d+)"', context.log)
    context.attempt = found[-1]


@given("a truncated line and a line of another program among them")
def _(context):
    context.log += '{"time":1.0,"vm":"da\nListening on port 80\n'


@when("the timeline of the caller's attempt is requested")
def _(context):
    context.timeline = timelines.find_timeline([context.log], context.attempt)


@when("the timeline of an unknown attempt is requested")
def _(context):
    context.timeline = timelines.find_timeline([context.log], "never")


@then(
    "the timeline shows the failed attempt, the second attempt and the end as"
    " recorded"
)
def _(context):
    request_timeline = timelines.Timeline(
        tuple(x for x in context.timeline.lines if "request_id" in x.fields), 0
    )
    text = timelines.render_timeline(request_timeline)
    text = re.sub(r"(?m)^ +\d+\.\d+", "   TIME", text)
    text = re.sub(r"request_id=\S+", "request_id=ID", text)
    text = re.sub(r"attempt_id=\S+", "attempt_id=ATTEMPT", text)
    text = re.sub(r"server=\S+", "server=SERVER", text)
    text = re.sub(r"(_s|epoch)=[\d.]+", r"\1=N", text)
    text = re.sub(r" load_told_ago_s=N", "", text)
    # The bytes before a reset may be received before it or together with it.
    text = re.sub(r"reason=(closed|reset)", "reason=CUT", text)
    file = GOLDEN / "timeline.txt"
    if context.config.userdata.get("golden") == "write":
        file.write_text(text, encoding="utf-8")
    assert text == file.read_text(encoding="utf-8"), text


@then("{count:d} lines are counted as malformed")
def _(context, count):
    assert context.timeline.malformed == count, context.timeline.malformed


@then("the timeline is empty")
def _(context):
    assert not context.timeline.lines
    assert (
        timelines.render_timeline(context.timeline)
        == "no log line mentions the request\n"
    )
