"""The entry process: its sockets, its clock, and its reducer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from hickorylead import isolation, notes, verdict as verdict_module
from hickorylead.draining import drain as drain_module, owed as owed_module
from hickorylead.requests import events, outcomes
from hickorylead.roles import entry as entry_role, interface, nodes
from hickorylead.runtime import (
    admin_api,
    backends as backends_module,
    clock,
    drainer,
    entry_api,
    handler_failures,
    intake as intake_module,
    peers as peers_module,
    problems,
    process,
    response_queue as response_queue_module,
    server as server_module,
    stop_gate,
    tasks as tasks_module,
    waiters,
)
from hickorylead.telemetry import logs, metrics as metrics_module, traces

if TYPE_CHECKING:
    from collections.abc import Mapping

Verdict = verdict_module.Verdict

# How long a stopping entry answers those who find its port open, in seconds:
# callers that are refused with a response know that nothing was run.
REFUSAL_S = 0.25
_MEMORY_FULL = problems.render_refusal(outcomes.describe_memory_full())
_REFUSAL = problems.render_refusal(outcomes.describe_stop(Verdict.NOT_RUN))


class EntryProcess:
    """Runs one entry."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        """Makes an entry; `run` starts it.

        Args:
            settings: Validated values of `settings.roles.ENTRY_OPTIONS`.
        """
        self.settings = settings
        self.node = nodes.make_node_name(
            settings["zone"], settings["vm"], nodes.ENTRY
        )
        controls = settings["controls"]
        self.role = entry_role.Entry(
            entry_role.Identity(self.node, tuple(sorted(controls))),
            rng=random.Random(f"{self.node} {clock.read_wall()}"),
        )
        self.log = logs.Log(lambda: self.role.configuration.version)
        self.metrics = metrics_module.EntryMetrics()
        self.intake = intake_module.Intake(
            settings["memory_mb"],
            settings["max_descriptors"],
            self.log.write,
        )
        self.tracer = traces.make_tracer(
            settings["trace_endpoint"],
            {"zone": settings["zone"], "vm": settings["vm"]},
        )
        self.changes: waiters.Waiters[interface.AnswerChange] = (
            waiters.Waiters()
        )
        self.statuses: waiters.Waiters[interface.AnswerStatus] = (
            waiters.Waiters()
        )
        self.explains: waiters.Waiters[interface.AnswerExplain] = (
            waiters.Waiters()
        )
        self.bootstraps: waiters.Waiters[interface.AnswerBootstrap] = (
            waiters.Waiters()
        )
        self._response_queues: dict[
            str, response_queue_module.ResponseQueue
        ] = {}
        self._boot = int(clock.read_wall() * 1000)
        self._request_count = 0
        self._peers = peers_module.Peers(
            node=self.node,
            address=f"{settings['address']}:{settings['peer_port']}",
            addresses=controls,
            deliver=self._receive,
            log=self.log,
        )

    async def run(self) -> None:
        """Serves until the process has to stop, then drains."""
        self._backends = backends_module.Backends(
            deliver=self.apply, tracer=self.tracer
        )
        gate = stop_gate.StopGate(
            entry_api.make_app(self, admin_api.make_routes(self)),
            self._make_request_id,
            self.log.write,
            _REFUSAL,
        )
        http = server_module.HttpServer(
            gate,
            self.settings["address"],
            self.settings["caller_port"],
            report_failure=handler_failures.make_reporter(self.log),
            intake=self.intake,
            memory_full_response=_MEMORY_FULL,
        )
        tasks_module.report_unhandled(self.log)
        await self._peers.start()
        await http.start()
        self.log.info("started", node=self.node)
        stop = asyncio.Event()
        tick_task = asyncio.create_task(self._tick())
        tasks_module.stop_on_end(tick_task, stop)
        tasks_module.stop_on_end(http.task, stop)
        tasks = [
            tick_task,
            asyncio.create_task(
                process.export_traces(
                    self.tracer, self.settings["trace_endpoint"]
                )
            ),
        ]
        await process.wait_for_stop(stop)
        self.log.info("stopping", open=self.role.dispatcher.count_pending())
        if not tick_task.done():
            await self._drain(http, gate)
        await http.close()
        for task in tasks:
            task.cancel()
        await self._peers.close()
        await self._backends.close()
        self.log.info("stopped")
        if tick_task.done() and not tick_task.cancelled():
            tick_task.result()

    async def _drain(
        self, http: server_module.HttpServer, gate: stop_gate.StopGate
    ) -> None:
        """Finishes what is owed to callers, for at most the drain time."""
        gate.stop()
        now = clock.read_boottime()
        drain = drain_module.Drain(
            grace_s=self.settings["drain_s"], detection_s=REFUSAL_S, now=now
        )
        self.apply(interface.StopRequested(drain.ends_at - now))

        def refuse(owed: owed_module.Owed) -> None:
            drainer.refuse(http, owed, self.log.write, _REFUSAL)

        def end(owed: owed_module.Owed) -> None:
            # The reducer ends the others, and their handlers respond.
            if owed.phase in (owed_module.Phase.HEAD, owed_module.Phase.BODY):
                refuse(owed)

        await drainer.Drainer(
            http,
            drain,
            end=end,
            count_others=lambda: (
                self.role.dispatcher.count_pending()
                + self._backends.count_cancellations()
            ),
            end_others=lambda: self.apply(interface.TimeOver()),
            refuse_head=refuse,
            write_log=self.log.write,
        ).run()

    def _make_request_id(self) -> str:
        """Returns an id for a new request."""
        self._request_count += 1
        return nodes.make_request_id(self.node, self._boot, self._request_count)

    def open_response(
        self, request_id: str, service: str
    ) -> response_queue_module.ResponseQueue:
        """Adds the queue that receives the effects of a request."""
        response_queue = self._response_queues[request_id] = (
            response_queue_module.ResponseQueue(service)
        )
        return response_queue

    def close_response(self, request_id: str) -> None:
        """Removes a request that has ended or whose caller is gone."""
        if self._response_queues.pop(request_id, None) is not None:
            self.apply(events.CallerDisconnected(request_id))

    def apply(self, event: interface.EntryEvent) -> None:
        """Passes an event to the reducer and carries out its effects."""
        isolation.carry_out_all(
            self.role.reduce(event, clock.read_monotonic()),
            self._carry_out,
            self.log.write,
        )

    def _receive(self, sender: str, message: interface.Message) -> None:
        self.apply(interface.MessageArrived(sender, message, clock.read_wall()))

    async def _tick(self) -> None:
        while True:
            self.apply(interface.Tick(clock.read_wall()))
            await asyncio.sleep(interface.TICK_S)

    def _carry_out(self, effect: interface.EntryEffect) -> None:
        match effect:
            case events.EmitText(request_id):
                self._deliver_effect(request_id, effect)
            case interface.Send(node, message):
                self._peers.send(node, message)
            case events.StartAttempt():
                if effect.attempt_number > 1:
                    self.metrics.record_retry(effect.request.service)
                self._backends.start(effect)
            case events.CancelAttempt():
                self._backends.cancel(effect)
            case events.FinishStream(request_id, _, usage):
                tokens = usage.completion_tokens
                self._complete_request(
                    request_id, Verdict.RAN, effect, tokens=tokens
                )
            case events.SendResponse(request_id):
                self._complete_request(request_id, Verdict.RAN, effect)
            case events.Refuse(request_id, problem):
                response_queue = self._response_queues.get(request_id)
                if response_queue is not None:
                    self.metrics.record_refusal(response_queue.service, problem)
                self._complete_request(
                    request_id, problem.verdict, effect, reason=problem.code
                )
            case notes.Note():
                self.log.write(effect)
            case interface.AnswerChange(change_id):
                self.changes.resolve(change_id, effect)
            case interface.AnswerStatus(token):
                self.statuses.resolve(token, effect)
            case interface.AnswerExplain(token):
                self.explains.resolve(token, effect)
            case interface.AnswerBootstrap(cluster):
                self.bootstraps.resolve(cluster, effect)
            case interface.Stopped():
                # More than pending requests may be owed.
                pass

    def _deliver_effect(self, request_id: str, effect: events.Effect) -> None:
        response_queue = self._response_queues.get(request_id)
        if response_queue is not None:
            response_queue.effects.put_nowait(effect)

    def _complete_request(
        self,
        request_id: str,
        verdict: verdict_module.Verdict,
        effect: events.Effect,
        *,
        tokens: int = 0,
        reason: str = "",
    ) -> None:
        response_queue = self._response_queues.pop(request_id, None)
        service = response_queue.service if response_queue else ""
        self.metrics.record_request(service, verdict)
        if tokens:
            self.metrics.record_tokens(service, tokens)
        self.log.info(
            "request ended",
            request_id=request_id,
            service=service,
            verdict=verdict.value,
            **({"reason": reason} if reason else {}),
        )
        if response_queue is not None:
            response_queue.effects.put_nowait(effect)
