"""Checks what operators, callers and servers see of the configuration."""

from __future__ import annotations

import collections
import math

import attrs

# Time after the end of a gateway's or coordinator's fault from which bounds
# hold again, in seconds: `ContactMs` of the settings of the rig.
CONTACT_S = 4.0
# Time after a gateway has shown the effect of a version from which it must not
# show an older one, in seconds: `RollbackSlackMs`.
ROLLBACK_S = 0.25
# What an unstable core adds to the time to put a version in force, in seconds:
# `MaxStretchMs`.
STRETCH_S = 6.0
ANSWER_SLACK_S = 0.5
MIN_REQUESTS = 20


@attrs.define
class Version:
    """One version that an operator has sent.

    Attributes:
        number: The operator's number.
        digest: Digest of its content.
        acked_at: When it was first acknowledged; infinite if it was not.
    """

    number: int
    digest: str
    acked_at: float = math.inf


@attrs.frozen
class Probe:
    """One request with which a caller examines a gateway.

    Attributes:
        gateway: The gateway, with the number of its start.
        route: Name of the route; empty if no version ever had it.
        first_version: Version that added the route.
        sent_at: When it was sent.
        ended_at: When its response ended.
        status: Status of the response; 0 without one.
        label: Label of the workspace that the server was shown; empty if the
            request has not run.
    """

    gateway: str
    route: str
    first_version: int
    sent_at: float
    ended_at: float
    status: int
    label: str = ""


@attrs.frozen
class Span:
    """A time in which a node, or all, did not keep what holds in calm."""

    begin: float
    end: float
    node: str


class ConfigurationChecker:
    """Collects observations and finds broken promises in them."""

    def __init__(self, apply_s: float) -> None:
        """Makes a checker.

        Args:
            apply_s: Time after an acknowledgement from which a version is in
                force, in seconds: `ConfigApplyMs`.
        """
        self._apply_s = apply_s
        self.versions: dict[int, Version] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.probes: list[Probe] = []
        # Time from an acknowledgement to the first probe that shows the
        # version, by gateway, in seconds.
        self.delays: list[float] = []
        self._spans: list[Span] = []
        self._refused: set[str] = set()
        self._shown: dict[str, tuple[int, float]] = {}

    # The operator.

    def record_sent(self, number: int, digest: str) -> Version:
        """Records a valid version before it is sent for the first time."""
        return self.versions.setdefault(number, Version(number, digest))

    def record_answer(self, version: Version, status: int, now: float) -> None:
        """Records the response to a change, the first one or a later one."""
        self.counts[f"change {status}"] += 1
        if status == 200:
            version.acked_at = min(version.acked_at, now)
        elif 400 <= status < 500:
            again = "again " if version.acked_at < math.inf else ""
            self._report("P3", f"{version.number} {again}refused: {status}")

    def record_invalid(self, number: int, digest: str, status: int) -> None:
        """Records the response to an invalid configuration."""
        self.counts[f"invalid {status}"] += 1
        self._refused.add(digest)
        if status == 200:
            self._report("P7", f"invalid {number} was acknowledged")

    def record_read(
        self, sent_at: float, number: int, digest: str, *, is_last: bool = False
    ) -> None:
        """Records a response to a read of the configuration."""
        self.counts["read"] += 1
        slack_s = 0.0 if is_last else self._apply_s
        newest = self.find_newest(sent_at - slack_s)
        promise = "P8" if is_last else "P5"
        if number < newest:
            self._report(promise, f"read {number} after {newest}")
        elif number < self.find_newest(sent_at):
            self.counts["read older than the last acknowledgement"] += 1
        known = self.versions.get(number)
        if known is None or known.digest != digest:
            self._report("P4", f"read {number} with other content")

    def record_no_read(self, seconds: float) -> None:
        """Records that nothing was read back at the end."""
        self._report("P8", f"nothing was read for {seconds:.1f} s")

    # Gateways.

    def record_disturbance(self, node: str, begin: float, end: float) -> None:
        """Records a fault of a node; an empty name stands for the core."""
        self._spans.append(Span(begin, end, node))

    def record_probe(self, probe: Probe) -> None:
        """Records a request and checks that no older version came back."""
        self.probes.append(probe)
        self.counts[f"probe {probe.status}"] += 1
        if not probe.label:
            return
        number, _, digest = probe.label.partition("-")
        shown = int(number)
        known = self.versions.get(shown)
        if digest in self._refused:
            self._report("P7", f"{probe.gateway} obeys refused {shown}")
        elif known is None or known.digest != digest:
            self._report("P4", f"{probe.gateway} obeys other content {shown}")
        before, before_at = self._shown.get(probe.gateway, (0, 0.0))
        if shown < before and probe.sent_at > before_at + ROLLBACK_S:
            self._report("P6", f"{probe.gateway}: {shown} after {before}")
        if shown > before:
            self._shown[probe.gateway] = (shown, probe.ended_at)
            if known is not None and known.acked_at < math.inf:
                self.delays.append(max(0.0, probe.ended_at - known.acked_at))

    def record_timeout(self, gateway: str, late_s: float, at: float) -> None:
        """Records how long after its route's timeout a request was answered."""
        if self._find_allowance(gateway, at) == 0.0:
            self.counts["timeouts"] += 1
            if late_s > ANSWER_SLACK_S:
                self.counts["timeouts answered late"] += 1

    # Results.

    def finish(self) -> None:
        """Checks what can be checked only after the run."""
        for probe in self.probes:
            self._check_in_force(probe)
        self._check_added_routes()
        late, all_ = (
            self.counts["timeouts answered late"],
            self.counts["timeouts"],
        )
        if late >= 8 and late > all_ / 4:
            self._report("P9", f"{late} of {all_} answered late")

    def find_newest(self, at: float) -> int:
        """Returns the newest version acknowledged by a time; 0 if none."""
        return max(
            (v.number for v in self.versions.values() if v.acked_at <= at),
            default=0,
        )

    def _check_in_force(self, probe: Probe) -> None:
        allowance_s = self._find_allowance(probe.gateway, probe.sent_at)
        if allowance_s is None:
            return
        self.counts["checked in touch"] += 1
        newest = self.find_newest(probe.sent_at - self._apply_s - allowance_s)
        late_s = probe.sent_at - self.versions[newest].acked_at if newest else 0
        if probe.label and int(probe.label.partition("-")[0]) < newest:
            shown = probe.label.partition("-")[0]
            self._report(
                "P1",
                f"{probe.gateway} at {probe.sent_at:.2f}: {shown} in force"
                f" {late_s:.2f} s after {newest} was acknowledged",
            )
        elif (
            probe.status in (401, 403, 404)
            and probe.route
            and probe.first_version <= newest
        ):
            self._report(
                "P1",
                f"{probe.gateway} at {probe.sent_at:.2f}: {probe.status} for"
                f" {probe.route} of version {probe.first_version},"
                f" {late_s:.2f} s after {newest} was acknowledged",
            )

    def _check_added_routes(self) -> None:
        """Compares the routes that were added with the first ones in calm."""
        served: dict[bool, list[bool]] = {True: [], False: []}
        for probe in self.probes:
            newest = self.find_newest(probe.sent_at - self._apply_s)
            if (
                probe.route
                and probe.first_version <= newest
                and self._find_allowance(probe.gateway, probe.sent_at) == 0.0
            ):
                served[probe.first_version > min(self.versions)].append(
                    probe.status == 200
                )
        added, first = served[True], served[False]
        self.counts["added routes in calm"] = len(added)
        self.counts["first routes in calm"] = len(first)
        if len(added) < MIN_REQUESTS or not first:
            return
        shares = sum(added) / len(added), sum(first) / len(first)
        self.counts["added served of 1000"] = int(1000 * shares[0])
        self.counts["first served of 1000"] = int(1000 * shares[1])
        if shares[0] < shares[1] / 4:
            self._report("P2", f"served {shares[0]:.2f} of {shares[1]:.2f}")

    def _find_allowance(self, gateway: str, at: float) -> float | None:
        """Returns what is added to the time at a gateway, in seconds.

        Returns:
            None if the gateway is not in touch.
        """
        vm = gateway.partition("#")[0]
        allowance_s = 0.0
        for span in self._spans:
            if not span.begin <= at <= span.end + CONTACT_S:
                continue
            if span.node == vm:
                return None
            if not span.node:
                allowance_s = STRETCH_S
        return allowance_s

    def _report(self, promise: str, detail: str) -> None:
        self.counts[f"broken {promise}"] += 1
        self.violations.append(f"{promise}: {detail}")
