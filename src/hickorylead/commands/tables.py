"""Text tables that the commands print."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorylead.configuration import model


def render_table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a table with aligned columns."""
    texts = [list(head), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in texts) for i in range(len(head))]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def render_services(configuration: model.Configuration) -> str:
    """Returns the services as a table."""
    rows = [
        (
            s.name,
            s.kind,
            s.weights if s.model else "-",
            s.replicas,
            s.group_size,
            s.rank,
            "at most once" if s.non_idempotent else "may repeat",
        )
        for s in configuration.services
    ]
    head = ("SERVICE", "KIND", "WEIGHTS", "REPLICAS", "SIZE", "RANK", "CALLS")
    return render_table(head, rows)


def render_presets(configuration: model.Configuration) -> str:
    """Returns the presets as a table."""
    rows = [
        (
            "*" if preset.name == configuration.preset else "",
            preset.name,
            " ".join(
                f"{s.service}/{s.zone}={s.replicas}" for s in preset.shares
            ),
        )
        for preset in configuration.presets
    ]
    return render_table(("IN FORCE", "PRESET", "SHARES"), rows)


def render_status(found: dict[str, Any], *, with_groups: bool) -> str:
    """Returns the status of all zones as tables."""
    controls = found["controls"]
    readiness = "ready" if found["ready"] else "not ready"
    parts = [
        f"entry {found['entry']}: version {found['version']}, preset"
        f" {found['preset'] or '-'}, {readiness}",
        _render_controls(controls),
        _render_services(controls),
        _render_entries(controls, found["version"]),
    ]
    if with_groups:
        parts.append(_render_groups(controls))
    return "\n\n".join(parts)


def _render_controls(controls: list[dict[str, Any]]) -> str:
    rows = [
        (
            c["node"],
            c["version"],
            "leader" if c["is_leader"] else "",
            f"holder {c['fence']}" if c["is_holder"] else "",
            c["members"],
            c["stranded"] if c["is_holder"] else "",
            f"{c['downtime_s']:.1f}" if c["is_holder"] else "",
        )
        for c in controls
    ]
    head = (
        "CONTROL",
        "VERSION",
        "LOG",
        "ZONE LEASE",
        "SERVERS",
        "STRANDED",
        "DOWNTIME_S",
    )
    return render_table(head, rows)


def _render_services(controls: list[dict[str, Any]]) -> str:
    rows = []
    for control in controls:
        states = [
            (group["service"], group["state"]) for group in control["groups"]
        ]
        rows += [
            (
                control["zone"],
                s["service"],
                s["wanted"],
                s["serving"],
                states.count((s["service"], "loading")),
                states.count((s["service"], "draining")),
                states.count((s["service"], "broken")),
            )
            for s in control["services"]
        ]
    head = (
        "ZONE",
        "SERVICE",
        "WANTED",
        "SERVING",
        "LOADING",
        "DRAINING",
        "BROKEN",
    )
    return render_table(head, rows)


def _render_entries(controls: list[dict[str, Any]], version: int) -> str:
    versions = {
        entry["entry"]: entry["version"]
        for control in controls
        for entry in control["entries"]
    }
    behind = [f"{e} at {v}" for e, v in sorted(versions.items()) if v < version]
    text = f"{len(versions)} entries reported, {len(behind)} behind"
    return "\n  ".join([text, *behind])


def _render_groups(controls: list[dict[str, Any]]) -> str:
    rows = [
        (
            group["name"],
            group["domain"],
            group["state"],
            " ".join(vm or "-" for vm in group["vms"]),
        )
        for control in controls
        for group in control["groups"]
    ]
    return render_table(("GROUP", "DOMAIN", "STATE", "VMS"), rows)


def render_trail(request_id: str, found: dict[str, Any]) -> str:
    """Returns the history of a request as text."""
    lines = [
        f"request {request_id} of {found['workspace']} to {found['service']}"
    ]
    for step in found["steps"]:
        lines.append(
            f"{step['after_s']:9.4f} s  {step['what']:15} {step['detail']}"
        )
        lines += [
            f"{'':14}weighed {candidate}" for candidate in step["weighed"]
        ]
    return "\n".join(lines)
