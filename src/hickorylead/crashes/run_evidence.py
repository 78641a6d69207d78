"""What the runs of one gateway say about the traits of their requests.

A request's traits are its hash and the hashes of the parts of its prompt that
other requests share. A run whose server survives it is evidence that its traits
are sound; all other runs of a server that ends are evidence against theirs.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.turns import own_pauses

# Time from its first output after which a run that still sends output has not
# ended its server, in seconds. Servers end within 0.1 s of the first output.
PROVEN_S = 0.5
# Time from the end of a complete response after which its server would be known
# to have ended, in seconds.
CONFIRMATION_S = 1.0
# The same time for a response that ended with its connection, maybe because its
# server ended: only missing heartbeats may show that.
UNFRAMED_CONFIRMATION_S = 5.0
# Time from the first output of a sound run for which losses do not count
# against its traits, in seconds. Weights may change, so it is short.
CLEARANCE_S = 1.0
# Time for which lost runs are reported, in seconds, and the time after which
# they are reported once more, as the first message may be lost.
PENDING_S = 30.0
RESEND_AFTER_S = 1.5
# Maximum numbers of traits with sound runs, of ended runs that are not decided,
# of servers whose lost runs are kept, and of such runs of one server.
MAX_SOUND_TRAITS = 8192
MAX_ENDED_RUNS = 4096
MAX_ACCUSATIONS = 256
MAX_ACCUSED_RUNS = 64


@attrs.define(eq=False)
class Run:
    """A run of a request at one incarnation of a server.

    Attributes:
        traits: The request hash, then the hashes of its shared prompt parts.
        server: The server.
        born: Start of the server's incarnation; see `messages.Crash`.
        sent_at: When the request was sent.
        first_output_at: When its first output arrived; None before that.
        ended_at: When it ended here, for whatever reason; None before that.
        is_complete: Whether it ended with a complete response.
        is_framed: Whether that response had a length or chunks.
        is_proven: Whether its server survived it.
    """

    traits: tuple[int, ...]
    server: str
    born: int
    sent_at: float
    first_output_at: float | None = None
    ended_at: float | None = None
    is_complete: bool = False
    is_framed: bool = True
    is_proven: bool = False


@attrs.define
class _Accusation:
    lost_at: float
    runs: dict[Run, tuple[int, ...]] = attrs.field(factory=dict)
    sent_at: float = -1e9
    is_due: bool = True
    is_resent: bool = False


class RunEvidence:
    """Unproven runs, sound traits and lost runs of one gateway."""

    def __init__(self) -> None:
        """Makes the evidence of a gateway without runs."""
        self._unproven: dict[tuple[str, int], dict[Run, None]] = {}
        self._ended: dict[Run, None] = {}
        self._sound: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._accusations: collections.OrderedDict[
            tuple[str, int], _Accusation
        ] = collections.OrderedDict()

    def start_run(
        self, traits: tuple[int, ...], server: str, born: int, now: float
    ) -> Run:
        """Returns the run of a request that is sent to a server."""
        run = Run(traits, server, born, now)
        self._unproven.setdefault((server, born), {})[run] = None
        return run

    def record_output(self, run: Run, now: float) -> None:
        """Records output of a run."""
        if run.is_proven:
            return
        if run.first_output_at is None:
            run.first_output_at = now
        elif now - run.first_output_at >= PROVEN_S:
            self._prove(run, run.first_output_at)

    def end_run(
        self,
        run: Run,
        *,
        is_complete: bool,
        is_framed: bool = True,
        now: float,
    ) -> None:
        """Records a run that ended without the loss of its connection.

        Its server may be about to end because of it.
        """
        if run.is_proven or run.ended_at is not None:
            return
        run.ended_at = now
        run.is_complete = is_complete
        run.is_framed = is_framed
        self._ended[run] = None
        if len(self._ended) > MAX_ENDED_RUNS:
            oldest = next(iter(self._ended))
            del self._ended[oldest]
            self._drop(oldest)

    def lose_run(self, run: Run, now: float) -> None:
        """Records that a run ended and its server may have ended."""
        self._accuse(run.server, run.born, now)
        self._ended.pop(run, None)
        self._drop(run)

    def decide_ended(
        self,
        has_ended: Callable[[str, int], bool],
        now: float,
        *,
        informed_since: float = -math.inf,
        pauses: own_pauses.OwnPauses | None = None,
    ) -> list[Run]:
        """Decides about runs that ended some time ago, and returns these.

        Args:
            has_ended: Returns whether an incarnation of a server has ended.
            now: Present time.
            informed_since: Time since which coordinators tell this gateway
                which servers have ended; infinite if none does.
            pauses: Times at which the gateway did not handle what they sent.
        """
        decided: list[Run] = []
        for run in list(self._ended):
            assert run.ended_at is not None
            limit_s = (
                CONFIRMATION_S if run.is_framed else UNFRAMED_CONFIRMATION_S
            )
            if run.is_proven:
                del self._ended[run]
                continue
            since = max(run.ended_at, informed_since)
            watched_s = (
                pauses.measure_silence(since, now) if pauses else now - since
            )
            if has_ended(run.server, run.born):
                self._accuse(run.server, run.born, run.ended_at)
            elif watched_s < limit_s:
                # Nobody can tell yet whether the server survived the run.
                continue
            elif run.is_complete:
                self._prove(run, run.first_output_at or run.ended_at)
            del self._ended[run]
            decided.append(run)
            self._drop(run)
        return decided

    def suspect_end(self, server: str, born: int) -> None:
        """Records that a server refuses connections.

        The home coordinator finds out whether it has ended.
        """
        for run in list(self._unproven.get((server, born), ())):
            if run.ended_at is not None and not run.is_framed:
                self._accuse(server, born, run.ended_at)

    def find_sound_time(self, trait: int) -> float | None:
        """Returns when the last sound run with a trait began to respond."""
        return self._sound.get(trait)

    def is_sound(self, trait: int, lost_at: float) -> bool:
        """Returns whether a loss does not count against a trait."""
        return self._sound.get(trait, -1e9) >= lost_at - CLEARANCE_S

    def collect_accusations(
        self, *, has_new_home_coordinator: bool, now: float
    ) -> tuple[messages.Accusation, ...]:
        """Returns the lost runs to report to the home coordinator."""
        for key, accusation in list(self._accusations.items()):
            if now - accusation.lost_at > PENDING_S:
                del self._accusations[key]
        found = []
        for (server, born), accusation in self._accusations.items():
            is_repeat_due = (
                not accusation.is_resent
                and now - accusation.sent_at >= RESEND_AFTER_S
            )
            if not (
                accusation.is_due or has_new_home_coordinator or is_repeat_due
            ):
                continue
            accusation.is_resent = (
                not accusation.is_due and not has_new_home_coordinator
            )
            accusation.is_due = False
            accusation.sent_at = now
            found.append(
                messages.Accusation(
                    server,
                    born,
                    _to_ms(now - accusation.lost_at),
                    tuple(
                        messages.AccusedRun(
                            traits,
                            _to_ms(now - run.sent_at),
                            tuple(t for t in traits if t in self._sound),
                        )
                        for run, traits in accusation.runs.items()
                    ),
                )
            )
        return tuple(found)

    def _accuse(self, server: str, born: int, lost_at: float) -> None:
        """Counts the end of a server against its unproven runs."""
        key = server, born
        accusation = self._accusations.get(key)
        for run in self._unproven.get(key, ()):
            if accusation is not None:
                if len(accusation.runs) >= MAX_ACCUSED_RUNS:
                    return
                if run in accusation.runs:
                    continue
            whole, *parts = run.traits
            doubtful = [p for p in parts if not self.is_sound(p, lost_at)]
            if not doubtful:
                continue
            if accusation is None:
                accusation = self._accusations[key] = _Accusation(lost_at)
                if len(self._accusations) > MAX_ACCUSATIONS:
                    self._accusations.popitem(last=False)
            accusation.runs[run] = (whole, *doubtful)
            accusation.is_due = True

    def _prove(self, run: Run, began_at: float) -> None:
        run.is_proven = True
        self._drop(run)
        for trait in run.traits:
            self._sound[trait] = max(began_at, self._sound.get(trait, -1e9))
            self._sound.move_to_end(trait)
        while len(self._sound) > MAX_SOUND_TRAITS:
            self._sound.popitem(last=False)

    def _drop(self, run: Run) -> None:
        key = run.server, run.born
        runs = self._unproven.get(key)
        if runs is None:
            return
        runs.pop(run, None)
        if not runs:
            del self._unproven[key]


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
