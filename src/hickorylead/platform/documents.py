"""The platform's configuration, from JSON into the product's types."""

from __future__ import annotations

from typing import Any

import orjson
from returns import result

from hickorylead.configuration import document
from hickorylead.platform import values

_MS = 0.001

_KINDS = {
    "streaming": document.RouteKind.STREAM,
    "idempotent": document.RouteKind.IDEMPOTENT,
    "non_idempotent": document.RouteKind.NON_IDEMPOTENT,
}


def read_packed(packed: bytes) -> result.Result[document.Document, str]:
    """Returns the configuration in bytes that were packed for the log."""
    try:
        return read_document(document.decompress_content(packed))
    except ValueError as error:
        return result.Failure(str(error))


def read_document(data: bytes) -> result.Result[document.Document, str]:
    """Returns the configuration in a body, or why there is none."""
    try:
        found = _read(orjson.loads(data))
    except KeyError as error:
        return result.Failure(f"the field {error.args[0]} is missing")
    except (
        orjson.JSONDecodeError,
        ValueError,
        TypeError,
        AttributeError,
    ) as error:
        return result.Failure(f"cannot be read: {error}")
    problems = document.check_document(found)
    if problems:
        return result.Failure("; ".join(problems))
    return result.Success(found)


def _read(found: dict[str, Any]) -> document.Document:
    limits = found.get("Limits") or {}
    default = document.Limits()
    return document.Document(
        version=values.read_whole(found["Version"]),
        routes=tuple(_read_route(route) for route in found["Routes"]),
        services=tuple(_read_service(s) for s in found["Services"]),
        limits=document.Limits(
            max_header_bytes=int(
                limits.get("MaxHeaderBytes", default.max_header_bytes)
            ),
            max_body_bytes=int(
                limits.get("MaxBodyBytes", default.max_body_bytes)
            ),
            header_timeout_s=_read_ms(
                limits, "HeaderTimeoutMs", default.header_timeout_s
            ),
            idle_timeout_s=_read_ms(
                limits, "IdleTimeoutMs", default.idle_timeout_s
            ),
        ),
        workspaces=tuple(
            document.Workspace(
                name=values.read_text(tenant["Name"]),
                keys=tuple(map(values.read_text, tenant.get("ApiKeys") or ())),
                priority=tenant.get("Priority"),
            )
            for tenant in found.get("Tenants") or ()
        ),
    )


def _read_route(found: dict[str, Any]) -> document.Route:
    split = found.get("TrafficSplit")
    if split:
        targets = tuple(
            document.Target(
                values.read_text(part["Service"]), float(part["Weight"])
            )
            for part in split
        )
    else:
        targets = (document.Target(values.read_text(found["Service"]), 1.0),)
    return document.Route(
        name=values.read_text(found["Name"]),
        host=values.read_text(found["Hostname"]),
        prefix=values.read_text(found["PathPrefix"]),
        kind=_KINDS[found["Kind"]],
        targets=targets,
        timeout_s=float(found["TimeoutMs"]) * _MS,
        objective_s=_read_ms(found, "TargetLatencyMs", 1.0),
        max_event_gap_s=_read_ms(found, "GapTargetMs", 0.0),
        priority=int(found.get("Priority", 1)),
        max_attempts=max(1, int(found.get("MaxAttempts", 1))),
        # The wire says which routes are open to everybody.
        needs_key=not found.get("AuthExempt", False),
        # Set on the routes whose requests carry a prompt; the name speaks of
        # sessions, but it is the model and prompt headers that it announces.
        has_prompts=bool(found.get("SessionAffinity", False)),
        resumable=bool(found.get("StreamResume", False)),
    )


def _read_service(found: dict[str, Any]) -> document.Service:
    engine = found.get("Engine")
    return document.Service(
        name=values.read_text(found["Name"]),
        health_path=str(found.get("HealthPath", "/health")),
        max_connections=max(0, int(found.get("MaxConnections", 0))),
        engine=_read_engine(engine) if engine else None,
    )


def _read_engine(found: dict[str, Any]) -> document.EngineProfile:
    return document.EngineProfile(
        slots=int(found["Slots"]),
        kv_cache_tokens=int(found.get("KvCapacityTokens", 0)),
        decode_step_s=float(found["step_ms"]) * _MS,
        decode_step_per_request_s=float(found.get("per_seq_ms", 0.0)) * _MS,
        # Given for 1,000 tokens of context.
        decode_step_per_context_token_s=float(found.get("context_per_k", 0.0))
        * _MS
        / 1000,
        prefill_per_token_s=1.0 / max(1.0, float(found["read_per_s"])),
        prefill_chunk_tokens=int(found.get("chunk", 2048)),
        steps_per_event=int(found.get("Stride", 1)),
        models=tuple(
            document.ModelProfile(
                name=values.read_text(model["Name"]),
                group_size=int(model["size"]),
                initial_vm_share=float(model.get("Share", 0.0)),
                time_factor=float(model.get("pace", 1.0)),
                load_s=float(model.get("LoadS", 0.0)),
                staged_load_s=float(model.get("WarmS", 0.0)),
            )
            for model in found.get("Models") or ()
        ),
        max_load_starts_per_s=float(found.get("LoadsPerS", 1.0)),
        max_concurrent_loads=int(found.get("loads_at_once", 0)),
        max_staged_models=int(found.get("RetainedCount", 1)),
        group_start_s=float(found.get("FormMs", 0.0)) * _MS,
    )


def _read_ms(found: dict[str, Any], name: str, default: float) -> float:
    value = found.get(name)
    return default if value is None else float(value) * _MS
