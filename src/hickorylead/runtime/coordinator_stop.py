"""Planned stops of a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes
from hickorylead.draining import drain as drain_module, owed as owed_module
from hickorylead.runtime import clock, drainer

if TYPE_CHECKING:
    from hickorylead.runtime import operator_calls, server as server_module
    from hickorylead.telemetry import decisions

# How long a stopping coordinator answers those who find its port open, in
# seconds: clients that are refused with a response know that nothing was done.
REFUSAL_S = 0.25


async def drain(
    http: server_module.HttpServer,
    calls: operator_calls.OperatorCalls,
    *,
    grace_s: float,
    log: decisions.DecisionLog,
) -> None:
    """Answers the pending calls; meanwhile the voter and the peers work on.

    Args:
        http: Serves backend servers and operators.
        calls: Operators' calls that wait for the reducer.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        log: Log of decisions.
    """
    log.write(notes.note("stopping", left_s=grace_s))

    def refuse(owed: owed_module.Owed) -> None:
        drainer.refuse(http, owed, log.write)

    def end(owed: owed_module.Owed) -> None:
        # Pending calls are answered below, by their handlers.
        if owed.phase is not owed_module.Phase.RESPONDING and not (
            calls.is_pending(owed.request_id)
        ):
            refuse(owed)

    await drainer.Drainer(
        http,
        drain_module.Drain(
            grace_s=grace_s, detection_s=REFUSAL_S, now=clock.read_boottime()
        ),
        end=end,
        end_others=lambda: calls.end(drainer.STOPPING),
        refuse_head=refuse,
        write_log=log.write,
    ).run()
