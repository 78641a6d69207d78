"""Judges a planned stop by what callers and replicas saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from support import simulated_network

if TYPE_CHECKING:
    from support import stop_callers, stop_replicas, stop_schedules

# Share of the grace time in which a request that can end is to be ended.
END_SHARE = 7 / 8
# Tolerance of times, in seconds.
SLACK_S = 0.1
# How long a gateway reads on when it closes a connection, in seconds.
LINGER_S = 0.9
# Times that differ by less are equal.
ROUNDING_S = 1e-6
# Most bytes a second that a caller gets in a schedule.
BYTES_PER_S = simulated_network.KERNEL_BYTES / (4 * simulated_network.LATENCY_S)


@attrs.define
class Outcome:
    """Outcome of one schedule.

    Attributes:
        violations: Violated promises, each with its kind before a colon.
        counts: Numbers of requests by what became of them.
    """

    violations: list[str]
    counts: collections.Counter[str]


class _Judge:
    def __init__(self, schedule: stop_schedules.Schedule) -> None:
        self._schedule = schedule
        self._ends_at = schedule.stopped_at + END_SHARE * schedule.grace_s
        self._runs: dict[str, list[stop_replicas.Run]] = (
            collections.defaultdict(list)
        )
        for run in schedule.runs:
            self._runs[run.attempt_id].append(run)
        self._logged = {
            note.fields.get("attempt_id") for note in schedule.log.notes
        }
        self._relayed = {
            note.fields["attempt_id"]
            for note in schedule.log.notes
            if note.event == "request_ended" and note.fields.get("relay")
        }
        # Requests whose time was over before a replica ran them.
        self._over = {
            note.fields["attempt_id"]
            for note in schedule.log.notes
            if note.fields.get("outcome") == "refused_deadline"
        }
        # A change of the configuration may apply.
        self._read_at = {
            seen.plan.attempt_id: seen.read_at for seen in schedule.seen
        }
        self._refused = {
            note.fields["attempt_id"]
            for note in schedule.log.notes
            if note.event == "request_refused_unread"
        }
        self._limits = {
            old.name: min(old.timeout_s, new.timeout_s)
            for old, new in zip(
                schedule.document.routes, schedule.changed.routes, strict=True
            )
        }
        self.outcome = Outcome([], collections.Counter())

    def _add(self, kind: str, seen: stop_callers.Seen, why: str) -> None:
        at_s = seen.ended_at - self._schedule.stopped_at
        self.outcome.violations.append(
            f"{kind}: {seen.plan.attempt_id} {seen.plan.route}"
            f" status {seen.status} at {at_s:.3f} of"
            f" {self._schedule.grace_s} s: {why}"
        )

    def judge(self) -> None:
        schedule = self._schedule
        used_s = schedule.exited_at - schedule.stopped_at
        if used_s >= schedule.grace_s:
            self.outcome.violations.append(f"late: ended after {used_s:.3f} s")
        for text in schedule.texts:
            self.outcome.violations.append(f"text: {text}")
        for message, fields in schedule.log.warnings:
            self.outcome.violations.append(
                f"warning: {message} {fields.get('why', '')}"
            )
        for seen in schedule.seen:
            self._judge_request(seen)
            self._count_phase(seen)
        for relayed in schedule.relayed:
            self._judge_relayed(relayed)
        for run in schedule.runs:
            self._judge_run(run)

    def _count_phase(self, seen: stop_callers.Seen) -> None:
        """Counts a request by its state at the stop."""
        stopped_at = self._schedule.stopped_at
        if not seen.began_at < stopped_at < seen.ended_at:
            return
        runs = self._runs[seen.plan.attempt_id]
        earlier = seen.connection.seen[: seen.connection.seen.index(seen)]
        if any(other.ended_at > stopped_at for other in earlier):
            phase = "pipelined"
        elif seen.first_at and seen.first_at < stopped_at:
            phase = "responding"
        elif runs and runs[0].began_at < stopped_at:
            phase = "running"
        elif seen.read_at and seen.read_at < stopped_at:
            phase = "waiting"
        else:
            phase = "unread"
        self.outcome.counts[f"at_stop_{phase}"] += 1

    def _judge_relayed(self, relayed: stop_replicas.Relayed) -> None:
        plan, schedule = relayed.plan, self._schedule
        self.outcome.counts[f"relayed_{relayed.end}_{relayed.reason}"] += 1
        runs = self._runs[plan.attempt_id]
        why = f"{plan.attempt_id} {relayed.end} {relayed.reason} {runs}"
        if not relayed.end:
            self.outcome.violations.append(f"relay_without_end: {why}")
        elif relayed.end == "not_run" and runs:
            self.outcome.violations.append(f"relay_ran: {why}")
        elif runs and runs[0].end == "cut":
            done_at = runs[0].began_at + plan.run_s
            if done_at < self._ends_at - SLACK_S:
                self.outcome.violations.append(
                    f"relay_lost: {why}, stop at {schedule.stopped_at}"
                )

    def _judge_request(self, seen: stop_callers.Seen) -> None:
        runs = self._runs[seen.plan.attempt_id]
        has_run = [run for run in runs if run.end not in ("refused",)]
        completed = [run for run in runs if run.end == "complete"]
        if seen.status == 500:
            self._add("bare_500", seen, "")
        if seen.is_complete and seen.status == 200 and not completed:
            self._add("looks_complete", seen, "no run is complete")
        if seen.status == 503 and has_run:
            self._add("ran_and_503", seen, f"{has_run}")
        if seen.is_complete:
            self._count(seen, f"status_{seen.status}")
            is_over = seen.plan.attempt_id in self._over
            if seen.status == 503 and not (
                is_over or "retry-after" in seen.headers
            ):
                self._add("no_retry_after", seen, "")
            if (
                seen.status == 503
                and seen.ended_at >= self._schedule.stopped_at
                # A refusal without it precedes the end of the head.
                and "attempt-id" in seen.headers
                and not self._is_logged(seen)
            ):
                self._add("silent", seen, "no line about the refusal")
            is_closing = seen.headers.get("connection") == "close"
            if not seen.end_offset and not is_closing:
                # Its caller would send the next request to its end.
                self._add("unannounced", seen, "its body is not read")
            if seen.status == 502 and self._could_end(seen, runs):
                self._add("replaced", seen, "it could have ended")
            return
        if self._is_behind_close(seen):
            # Its caller knows that it was not handled.
            self._count(seen, "behind_close")
            if runs:
                self._add("ran_behind_close", seen, "")
            return
        if self._is_behind_cut(seen):
            # No response may follow an incomplete one.
            self._count(seen, "behind_cut")
            return
        if seen.connection.is_reset and seen.connection.stalled_s > LINGER_S:
            # It went on sending and did not read what ended the connection.
            self._count(seen, "not_reading")
            return
        if not seen.read_at:
            self._count(seen, "unread_left")
            if seen.plan.attempt_id in self._refused:
                self._add("refusal_lost", seen, "its body was not read on")
            if self._is_head_read(seen) and not self._is_logged(seen):
                self._add("silent", seen, "its body was read in part")
            return
        self._count(seen, "begun_cut" if seen.status else "read_cut")
        if not self._is_logged(seen):
            self._add("silent", seen, "no line")
        if not runs:
            self._add("unanswered", seen, f"read at {self._tell(seen.read_at)}")
        elif self._could_end(seen, runs):
            self._add(
                "lost",
                seen,
                f"read at {self._tell(seen.read_at)}, {runs[-1].end} at"
                f" {self._tell(runs[-1].ended_at)} after"
                f" {runs[-1].ended_at - runs[-1].began_at:.3f} of"
                f" {seen.plan.run_s:.3f} s",
            )

    def _judge_run(self, run: stop_replicas.Run) -> None:
        schedule = self._schedule
        # A close that came before the exit is seen later, by a hop or two.
        hops = 2 if run.attempt_id in self._relayed else 1
        closed_at = run.ended_at - hops * simulated_network.LATENCY_S
        if run.end == "cut" and closed_at >= schedule.exited_at - ROUNDING_S:
            self.outcome.violations.append(
                f"not_cancelled: {run.attempt_id} runs at the end"
            )
        first = self._runs[run.attempt_id][0]
        arrived_at = first.began_at
        if run is not first or arrived_at <= schedule.stopped_at + SLACK_S:
            return
        plan = schedule.plans[run.attempt_id]
        if plan.route not in self._limits:
            return
        limit_s = min(self._limits[plan.route], plan.budget_s or 1e9)
        limit_s -= arrived_at - self._read_at[run.attempt_id]
        left_s = self._ends_at - arrived_at
        ended = [
            r
            for r in schedule.runs
            if r.end == "complete"
            and r.ended_at < arrived_at
            and schedule.plans[r.attempt_id].route == plan.route
        ]
        # The end of a run that has just ended may still be on its way.
        known_at = arrived_at - 5 * simulated_network.LATENCY_S
        known = [
            r.ended_at - r.began_at for r in ended if r.ended_at < known_at
        ]
        needed_s = max(known, default=0.0) if ended else limit_s
        if min(limit_s - SLACK_S, needed_s) > left_s:
            self.outcome.violations.append(
                f"accepted: {run.attempt_id} at {self._tell(arrived_at)}, limit"
                f" {limit_s:.3f} s, known {max(known, default=0):.3f} s, left"
                f" {left_s:.3f} s"
            )

    def _could_end(
        self, seen: stop_callers.Seen, runs: list[stop_replicas.Run]
    ) -> bool:
        """Returns whether the response could have reached the caller."""
        plan = seen.plan
        if not runs or runs[-1].end in ("refused", "reset"):
            return False
        limit_s = min(self._limits[plan.route], plan.budget_s or 1e9)
        # The wait for the first configuration counts.
        since = seen.began_at if self._schedule.is_late else seen.read_at
        done_at = runs[-1].began_at + plan.run_s
        if done_at > since + limit_s - SLACK_S:
            return False
        earlier = seen.connection.seen
        stalled_s = sum(
            other.plan.stall_s + other.plan.size / BYTES_PER_S
            for other in earlier[: earlier.index(seen) + 1]
        )
        received_at = done_at + stalled_s
        return received_at < self._ends_at - SLACK_S

    def _is_behind_close(self, seen: stop_callers.Seen) -> bool:
        """Returns whether an earlier response announced the close."""
        earlier = seen.connection.seen
        return any(
            other.headers.get("connection") == "close"
            for other in earlier[: earlier.index(seen)]
        )

    def _is_behind_cut(self, seen: stop_callers.Seen) -> bool:
        """Returns whether an earlier response is incomplete."""
        earlier = seen.connection.seen
        return any(
            not other.is_complete for other in earlier[: earlier.index(seen)]
        )

    def _is_head_read(self, seen: stop_callers.Seen) -> bool:
        earlier = seen.connection.seen
        index = earlier.index(seen)
        begun = earlier[index - 1].end_offset if index else 0
        head = sum(len(part) for _, part in seen.plan.encode()[:2])
        read_at = seen.connection.find_read(begun + head)
        # What arrives later has crossed the response.
        sent_at = seen.ended_at - 2 * simulated_network.LATENCY_S
        return bool(read_at) and read_at < sent_at

    def _is_logged(self, seen: stop_callers.Seen) -> bool:
        return seen.plan.attempt_id in self._logged

    def _count(self, seen: stop_callers.Seen, what: str) -> None:
        self.outcome.counts["requests"] += 1
        if seen.ended_at >= self._schedule.stopped_at:
            self.outcome.counts[f"after_stop_{what}"] += 1

    def _tell(self, at: float) -> str:
        return f"{at - self._schedule.stopped_at:.3f}"


def judge(schedule: stop_schedules.Schedule) -> Outcome:
    """Returns the outcome of a schedule that has been run."""
    found = _Judge(schedule)
    found.judge()
    return found.outcome
