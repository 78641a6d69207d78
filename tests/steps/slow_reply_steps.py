"""Steps about a leader whose replies are late."""

from __future__ import annotations

import random

from behave import given, then

from hickorylead.consensus import messages, voter

MEMBERS = ("a#1", "b#1", "c#1")


def find_requests(effects):
    """Returns the requests to append among effects."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, messages.Send)
        and isinstance(effect.message, messages.AppendRequest)
    ]


def reply_to(subject, requests, now):
    """Has all other voters reply to requests."""
    for request in requests:
        index = request.previous_index + len(request.entries)
        reply = messages.AppendReply(
            request.recipient, subject.term, True, index, request.sent_at, now
        )
        subject.receive(reply, now)


@given("a leader of three voters whose replies take {seconds:g} seconds")
def _(context, seconds):
    subject = voter.Voter(
        node="a",
        incarnation="1",
        peers=("b", "c"),
        rng=random.Random(1),
        now=0.0,
    )
    subject.bootstrap("cluster", MEMBERS)
    subject.tick(0.1)
    effects = []
    for is_trial in (True, False):
        vote = messages.VoteReply("b#1", subject.term, True, is_trial)
        effects = subject.receive(vote, 0.1)
    assert subject.role == "leader"
    reply_to(subject, find_requests(effects), 0.2)
    reply_to(subject, find_requests(subject.send_heartbeats(0.2)), 0.3)
    assert subject.is_ready_leader(0.3), (subject.commit, subject.term)
    for step in range(4, 40):
        subject.tick(0.1 * step)
    assert subject.role == "leader"
    context.voter = subject
    context.requested_at, context.reply_s = 3.9, seconds


@then("it confirms a read once a majority has replied to it")
def _(context):
    subject, at = context.voter, context.requested_at
    requests = find_requests(subject.send_heartbeats(at))
    context.now = at + context.reply_s
    assert not subject.is_read_confirmed(at)
    reply_to(subject, requests, context.now)
    assert subject.is_read_confirmed(at)


@then("it does not count as up to date meanwhile")
def _(context):
    assert not context.voter.is_fresh(context.now)
