"""Steps about the story of a request."""

from __future__ import annotations

import asyncio
import pathlib
import re

from behave import given, then, when
from support import platform_cluster

from hickorylead.telemetry import stories

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden/platform"


async def run_reset_stream(day):
    """Plays a stream that is reset; adds the log to the record."""
    await platform_cluster.run_resumed_stream(day)
    for shell in [day.gateway, *day.coordinators]:
        shell._log.flush()
    day.lines.append(day.log_path.read_text(encoding="utf-8"))


@given("the logs of a day on which a replica reset a stream")
def _(context):
    record = asyncio.run(platform_cluster.run_session(run_reset_stream))
    rows = [row for row in record.splitlines() if row.startswith("{")]
    context.log = "\n".join(rows) + "\n"
    found = re.findall(r'"attempt_id":"(a\d+)"', context.log)
    context.attempt = found[-1]


@given("half a line and a line of another program among them")
def _(context):
    context.log += '{"time":1.0,"vm":"da\nListening on port 80\n'


@when("the story of the caller's attempt is told")
def _(context):
    context.story = stories.tell_story([context.log], context.attempt)


@when("the story of an attempt that never was is told")
def _(context):
    context.story = stories.tell_story([context.log], "never")


@then("it names the failed try, the second one and the end as recorded")
def _(context):
    own = stories.Story(
        tuple(x for x in context.story.lines if "request_id" in x.fields), 0
    )
    text = stories.render_story(own)
    text = re.sub(r"(?m)^ +\d+\.\d+", "   TIME", text)
    text = re.sub(r"request_id=\S+", "request_id=ID", text)
    text = re.sub(r"attempt_id=\S+", "attempt_id=ATTEMPT", text)
    text = re.sub(r"server=\S+", "server=SERVER", text)
    text = re.sub(r"(_s|epoch)=[\d.]+", r"\1=N", text)
    text = re.sub(r" load_told_ago_s=N", "", text)
    # A reset may come after the bytes before it were read, or with them.
    text = re.sub(r"reason=(closed|reset)", "reason=CUT", text)
    file = GOLDEN / "story.txt"
    if context.config.userdata.get("golden") == "write":
        file.write_text(text, encoding="utf-8")
    assert text == file.read_text(encoding="utf-8"), text


@then("{count:d} lines are counted as unreadable")
def _(context, count):
    assert context.story.unreadable == count, context.story.unreadable


@then("there is no line in it")
def _(context):
    assert not context.story.lines
    assert stories.render_story(context.story) == "no line tells of it\n"
