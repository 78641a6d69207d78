"""Steps about the sizes of prompts that a forwarder keeps."""

from __future__ import annotations

from behave import then, when
from support import forwarder_harness


@when("{count:d} requests come, each for another model")
def _(context, count):
    context.harness = forwarder_harness.ForwarderHarness(models=1)
    for number in range(count):
        context.harness.send_request("drafts", model_name=f"model-{number}")
    context.harness.send_request("drafts")


@then("sizes of prompts are kept for {count:d} model at most")
def _(context, count):
    kept = context.harness.health._prompts
    assert len(kept) <= count, len(kept)


@when("a request announces a prompt of {tokens:d} tokens")
def _(context, tokens):
    context.harness = forwarder_harness.ForwarderHarness(models=1)
    context.harness.send_request("drafts", prompt=tokens)


@then("its model's largest prompt is what fits a replica")
def _(context):
    harness = context.harness
    largest = harness.health.find_largest_prompt("large", harness.now)
    assert largest == harness.engine.kv_cache_tokens, largest
