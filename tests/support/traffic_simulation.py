"""Callers and replicas in a fleet, some of whose requests end their replica."""

from __future__ import annotations

import itertools

import attrs

from hickorylead.fleet import instances
from hickorylead.forwarding import events, model
from hickorylead.verdict import Verdict
from support import fleet_simulation

STEP_S = 0.01
# From the sending of a request to the moment at which its run ends its
# replica, or gives an event, in seconds.
RUN_S = 0.15
# An ordinary stream gives this many events, one each 0.1 s.
EVENTS = 5
# A server that ended is replaced by an empty one after this, in seconds.
REPLACED_S = 2.5
OK = model.ResponseHead(200, is_signed=True)
ROUTES = {r.name: r for r in fleet_simulation.make_document(1).routes}


@attrs.define
class Submission:
    """One submission of a request, with what became of it.

    Attributes:
        name: The gateway's name for it.
        gateway: Where it was sent to.
        body: What it asks.
        sent: When it reached replicas, and which.
        status: Status of a refusal; 200 for a whole answer; 0 if neither.
        reason: Reason of a refusal.
        retry_after_s: When its caller may come back, if it was told.
        ended_at: When it was refused.
        asked_at: When it was sent to the gateway.
    """

    name: str
    gateway: str
    body: bytes
    sent: list[tuple[float, str]] = attrs.field(factory=list)
    status: int = 0
    reason: str = ""
    retry_after_s: float | None = None
    ended_at: float = 0.0
    asked_at: float = 0.0


@attrs.frozen
class Refusal:
    """An answer with which a server turned a gateway away.

    Attributes:
        at: When the gateway got it.
        server: The server.
        gateway: The gateway.
        pause_s: How long the server wants no request, in seconds.
    """

    at: float
    server: str
    gateway: str
    pause_s: float


@attrs.define
class _Run:
    submission: Submission
    attempt: int
    server: str
    began: float
    given: int = 0
    pause_s: float | None = None


class TrafficSimulation:
    """Plays the callers and the replicas of a fleet."""

    def __init__(self, world: fleet_simulation.FleetSimulation) -> None:
        """Makes a play.

        Args:
            world: Coordinators, gateways and servers, with open groups.
        """
        self.world = world
        # Bodies that end the replica that runs them.
        self.deadly: set[bytes] = set()
        self.submissions: dict[str, Submission] = {}
        # When servers ended, and under which bodies.
        self.ended: list[tuple[float, str, frozenset[bytes]]] = []
        self._runs: dict[tuple[str, int], _Run] = {}
        self._count = itertools.count(1)
        self._seen = len(world.gateway_effects)
        # Requests a second that servers name with their answers.
        self.limits: dict[str, float] = {}
        # Servers that turn each request away, with the pause they ask for, and
        # the only gateway whose requests they do; all if empty.
        self.pausing: dict[str, float] = {}
        self.turned_away = ""
        self.refusals: list[Refusal] = []
        # Servers that say with each answer that they leave, and when each
        # gateway was first told so.
        self.leaving: set[str] = set()
        self.told_leaving: dict[tuple[str, str], float] = {}
        # Servers that come back, by time.
        self._due: list[tuple[float, instances.Instance]] = []
        # Whether the caller of such a body leaves once its run is lost.
        self.leaves_early = False

    def submit(
        self, gateway: str, body: bytes, *, last_event: int = 0
    ) -> Submission:
        """Sends a request to a gateway."""
        name = f"r{next(self._count)}"
        submission = Submission(name, gateway, body, asked_at=self.world.now)
        self.submissions[name] = submission
        route = ROUTES["drafts"]
        request = model.Request(
            request_id=name,
            metadata=model.RequestMetadata(
                f"try-{name}",
                budget_s=route.timeout_s,
                model="large",
                prompt_tokens=100,
                last_event_id=last_event,
            ),
            route=route,
            service="model",
            workspace="crew",
            method="POST",
            target=b"/drafts/",
            headers=(),
            body=body,
            urgency=1,
        )
        self.world.apply(gateway, events.RequestArrived(request))
        self._follow()
        return submission

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.world.now + seconds
        while self.world.now < end - 1e-9:
            self.world.run(STEP_S)
            self._follow()
            self._serve()
            self._replace()

    def find_lost(self, body: bytes) -> list[float]:
        """Returns when servers ended under a body, in order."""
        return [at for at, _, bodies in self.ended if body in bodies]

    def list_sent(self, body: bytes) -> list[float]:
        """Returns when a body reached replicas, in order."""
        return sorted(
            at
            for submission in self.submissions.values()
            if submission.body == body
            for at, _ in submission.sent
        )

    def list_arrivals(self, server: str) -> list[tuple[float, str]]:
        """Returns when requests reached a server, and from which gateway."""
        return sorted(
            (at, submission.gateway)
            for submission in self.submissions.values()
            for at, name in submission.sent
            if name == server
        )

    def end_server(self, name: str) -> None:
        """Ends a server; all that it runs is closed at the same moment."""
        server = self.world.servers[name]
        running = [r for r in self._runs.values() if r.server == name]
        bodies = frozenset(r.submission.body for r in running)
        self.ended.append((self.world.now, name, bodies))
        self._due.append((self.world.now + REPLACED_S, server))
        self.world.crash(name)
        for run in running:
            self._fail(run, Verdict.MAY_HAVE_RUN, "closed")

    def reset(self, submission: Submission) -> None:
        """Resets the connection of a submission; its server goes on."""
        for run in list(self._runs.values()):
            if run.submission is submission:
                self._fail(run, Verdict.MAY_HAVE_RUN, "reset")

    def refuse_submission(
        self, submission: Submission, head: model.ResponseHead
    ) -> None:
        """Has the server that runs a submission refuse it."""
        for run in list(self._runs.values()):
            if run.submission is submission:
                self._begin(run, head)

    def list_running(self) -> list[str]:
        """Returns the servers that run something, each once, sorted."""
        return sorted({run.server for run in self._runs.values()})

    # Replicas.

    def _follow(self) -> None:
        """Takes what the gateways did since."""
        found = self.world.gateway_effects
        while self._seen < len(found):
            _, node, effect = found[self._seen]
            self._seen += 1
            self._take(node, effect)

    def _take(self, node: str, effect: events.Effect) -> None:
        match effect:
            case events.StartAttempt(request, attempt, replica):
                submission = self.submissions[request.request_id]
                run = _Run(submission, attempt, replica.name, self.world.now)
                if self.turned_away in ("", node):
                    run.pause_s = self.pausing.get(replica.name)
                self._runs[request.request_id, attempt] = run
                if replica.name not in self.world.servers:
                    self._fail(run, Verdict.NOT_RUN, "unreachable")
                else:
                    submission.sent.append((self.world.now, replica.name))
            case events.CancelAttempt(request_id, attempt):
                self._runs.pop((request_id, attempt), None)
            case events.Refuse(request_id, status, reason, retry_after_s):
                submission = self.submissions[request_id]
                submission.status = status
                submission.reason = reason
                submission.retry_after_s = retry_after_s
                submission.ended_at = self.world.now
            case events.FinishResponse(request_id):
                self.submissions[request_id].status = 200
            case _:
                pass

    def _serve(self) -> None:
        for run in list(self._runs.values()):
            age_s = self.world.now - run.began
            if run.server not in self.world.servers:
                continue
            if run.pause_s is not None:
                self._refuse(run, run.pause_s)
                continue
            if age_s < RUN_S:
                continue
            if run.submission.body in self.deadly:
                self.end_server(run.server)
                if self.leaves_early:
                    left = events.CallerDisconnected(run.submission.name)
                    self._tell(run.submission.gateway, left)
                continue
            if age_s >= RUN_S + 0.1 * run.given:
                self._give_event(run)

    def _give_event(self, run: _Run) -> None:
        name, gateway = run.submission.name, run.submission.gateway
        if not run.given:
            limit_per_s = self.limits.get(run.server)
            head = attrs.evolve(OK, limit_per_s=limit_per_s)
            self._begin(run, head)
        run.given += 1
        data = b"id: %d\ndata: x\n\n" % run.given
        self._tell(gateway, events.ChunkArrived(name, run.attempt, data))
        if run.given == EVENTS:
            self._runs.pop((name, run.attempt), None)
            self._tell(gateway, events.ResponseCompleted(name, run.attempt))

    def _refuse(self, run: _Run, pause_s: float) -> None:
        gateway = run.submission.gateway
        refusal = Refusal(self.world.now, run.server, gateway, pause_s)
        self.refusals.append(refusal)
        self._begin(
            run,
            model.ResponseHead(
                503, not_run=True, retry_after_s=pause_s or None
            ),
        )

    def _begin(self, run: _Run, head: model.ResponseHead) -> None:
        name, gateway = run.submission.name, run.submission.gateway
        is_leaving = run.server in self.leaving
        if is_leaving:
            told = (gateway, run.server)
            self.told_leaving.setdefault(told, self.world.now)
        head = attrs.evolve(
            head, echoed_attempt_id=f"try-{name}", is_leaving=is_leaving
        )
        self._tell(gateway, events.ResponseHeadArrived(name, run.attempt, head))

    def _fail(self, run: _Run, verdict: Verdict, reason: str) -> None:
        name = run.submission.name
        self._runs.pop((name, run.attempt), None)
        failed = events.AttemptFailed(name, run.attempt, verdict, reason)
        self._tell(run.submission.gateway, failed)

    def _tell(self, gateway: str, event: events.Event) -> None:
        self.world.apply(gateway, event)
        self._follow()

    def _replace(self) -> None:
        for due, server in list(self._due):
            if self.world.now >= due:
                self._due.remove((due, server))
                domain = int(server.domain.rpartition("d")[2])
                name = f"{server.name}+"
                self.world.add_server(name, server.zone, domain)
