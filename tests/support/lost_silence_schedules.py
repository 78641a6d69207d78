"""Random orders of silence, refusal and loss against one gateway.

Run as `python tests/support/lost_silence_schedules.py FIRST COUNT` from the
root.
"""

from __future__ import annotations

import pathlib
import random
import sys

if __name__ == "__main__":
    ROOT = pathlib.Path(__file__).resolve().parents[2]
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from hickorylead.forwarding import events, model
from hickorylead.relaying import messages
from hickorylead.verdict import Verdict
from support import forwarder_harness, replica_runs

SECONDS = 12.0
STEP_S = 0.05
CHANGE_SHARE = 0.5
# Shortest delay of a final effect that is a violation, in seconds.
LATE_S = 0.1
FINAL = (events.FinishResponse, events.AbortResponse, events.Refuse)
REASONS = ("reset", "closed", model.CONNECT_TIMEOUT)


class Schedule:
    """One random schedule.

    Few replicas and many changes bring up each order of the three on the
    attempts of one request.
    """

    def __init__(self, seed: int) -> None:
        """Makes a gateway with two to four replicas of each service."""
        self._rng = random.Random(seed)
        count = self._rng.randint(2, 4)
        self._harness = forwarder_harness.ForwarderHarness(
            models=count, plain=count
        )
        self._replicas = [f"{kind}{n}" for kind in "mp" for n in range(count)]
        self._runs = replica_runs.ReplicaRuns(self._harness)
        self._names: list[str] = []

    def run(self) -> list[str]:
        """Runs the schedule; returns the violated promises."""
        harness, rng = self._harness, self._rng
        end = harness.now + SECONDS
        while harness.now < end:
            if rng.random() < 0.4:
                self._send()
            self._runs.advance(STEP_S)
            if rng.random() < CHANGE_SHARE:
                self._change()
        self._runs.modes = {}
        self._runs.advance(9.0)
        return [*self._runs.violations, *self._list_violations()]

    def _send(self) -> None:
        route = self._rng.choice(("drafts", "drafts", "notices", "alerts"))
        name = self._harness.send_request(
            route, body=b"%d" % self._harness.request_count
        )
        self._names.append(name)
        self._runs.process_effects()

    def _change(self) -> None:
        rng, runs, harness = self._rng, self._runs, self._harness
        match rng.randrange(7):
            case 0 | 1:
                silent = rng.choice(self._replicas)
                runs.modes[silent] = replica_runs.Mode.SILENT
            case 2:
                for replica in self._replicas:
                    if rng.random() < 0.7 and replica not in runs.modes:
                        runs.modes[replica] = replica_runs.Mode.REFUSING
            case 3:
                self._lose(rng.choice(self._replicas))
            case 4:
                for replica in list(runs.modes):
                    if rng.random() < 0.5:
                        del runs.modes[replica]
            case 5:
                harness.spend_retries(
                    rng.choice(("model", "plain")), left=rng.randrange(3)
                )
                harness.unreachable = {
                    r for r in self._replicas if rng.random() < 0.2
                }
            case 6:
                self._offer_relay()
                if self._names and rng.random() < 0.3:
                    runs.disconnect(rng.choice(self._names[-10:]))

    def _lose(self, replica: str) -> None:
        """Ends all runs of a replica, as a crash does."""
        reason = self._rng.choice(REASONS)
        verdict = (
            Verdict.NOT_RUN
            if reason == model.CONNECT_TIMEOUT
            else Verdict.MAY_HAVE_RUN
        )
        for key, run in list(self._runs.runs.items()):
            if run.replica == replica and key in self._runs.runs:
                del self._runs.runs[key]
                self._runs._with_output.discard(key)
                self._harness.deliver(
                    events.AttemptFailed(*key, verdict, reason)
                )
                self._runs.process_effects()

    def _offer_relay(self) -> None:
        self._harness.relays.record_offer(
            messages.RelayOffer(
                "z1/front1",
                "z1/front2",
                "relay:1",
                "token",
                (
                    messages.Scope("model", "z1"),
                    messages.Scope("plain", "z1"),
                ),
            ),
            self._harness.now,
        )

    def _list_violations(self) -> list[str]:
        violations = []
        ended = {
            effect.request_id: at
            for at, effect in reversed(self._harness.effects)
            if isinstance(effect, FINAL)
        }
        for name in self._names:
            if name in self._runs.left:
                continue
            at = ended.get(name)
            if at is None:
                violations.append(f"{name} has no final effect")
            elif at > self._harness.ends_at[name] + LATE_S:
                violations.append(f"{name} has its final effect too late")
        return violations


def run_schedules(first: int, count: int) -> dict[int, list[str]]:
    """Returns the violated promises of some schedules by seed."""
    found = {}
    for seed in range(first, first + count):
        try:
            found[seed] = Schedule(seed).run()
        except AssertionError as error:
            found[seed] = [f"the gateway failed: {error!r}"]
    return found


def main() -> int:
    """Prints the violations; returns 1 if there are any."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed, violations in run_schedules(first, count).items():
        failed += bool(violations)
        for line in violations[:3]:
            print(f"seed {seed}: {line}")  # noqa: T201
    print(f"{count} schedules, {failed} with violations")  # noqa: T201
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
