"""Decodes the platform's configuration from JSON."""

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


class DocumentDecoder:
    """Decodes configurations; routes that have not changed are not decoded.

    Successive configurations differ in a few of up to thousands of routes, and
    decoding all of them for each change would hold up the event loop.
    """

    def __init__(self) -> None:
        """Makes a decoder that has not decoded anything yet."""
        # The routes of the last valid configuration, encoded and decoded, by
        # name. Fields that are equal in Python may differ in JSON: 1 and true.
        self._known: dict[str, tuple[bytes, document.Route]] = {}
        # Names of the services of that configuration.
        self._services: frozenset[str] = frozenset()
        # Number of routes that were decoded so far.
        self.decoded_routes = 0

    def decode_compressed(
        self, compressed: bytes
    ) -> result.Result[document.Document, str]:
        """Returns the configuration that was compressed for the log."""
        try:
            return self.decode(document.decompress_content(compressed))
        except ValueError as error:
            return result.Failure(str(error))

    def decode(self, data: bytes) -> result.Result[document.Document, str]:
        """Returns the configuration in a request body, or why it is invalid."""
        try:
            fields = orjson.loads(data)
            route_fields = values.expect_list(fields["Routes"])
            encoded = [orjson.dumps(route) for route in route_fields]
            routes = tuple(map(self._decode_route, route_fields, encoded))
            decoded = _decode(fields, routes)
        except KeyError as error:
            return result.Failure(f"the field {error.args[0]} is missing")
        except (
            orjson.JSONDecodeError,
            ValueError,
            TypeError,
            AttributeError,
        ) as error:
            return result.Failure(f"cannot be decoded: {error}")
        services = frozenset(service.name for service in decoded.services)
        changed = routes
        if services == self._services:
            known = {id(route) for _, route in self._known.values()}
            changed = tuple(route for route in routes if id(route) not in known)
        problems = document.validate_document(decoded, changed)
        problems += _find_unknown_services(route_fields, services)
        if problems:
            return result.Failure("; ".join(problems))
        self._services = services
        self._known = {
            route.name: (route_encoded, route)
            for route_encoded, route in zip(encoded, routes, strict=True)
        }
        return result.Success(decoded)

    def _decode_route(
        self, fields: dict[str, Any], encoded: bytes
    ) -> document.Route:
        known = self._known.get(fields["Name"])
        if known is not None and known[0] == encoded:
            return known[1]
        self.decoded_routes += 1
        return _decode_route(fields)


def decode_document(data: bytes) -> result.Result[document.Document, str]:
    """Returns the configuration in a request body, or why it is invalid."""
    return DocumentDecoder().decode(data)


def _find_unknown_services(
    routes: list[dict[str, Any]], services: frozenset[str]
) -> list[str]:
    """Returns problems of services that split routes name but do not use."""
    return [
        f"route {fields['Name']} names the unknown service {fields['Service']}"
        for fields in routes
        if fields.get("TrafficSplit")
        and fields.get("Service")
        and fields["Service"] not in services
    ]


def _decode(
    fields: dict[str, Any], routes: tuple[document.Route, ...]
) -> document.Document:
    limits = fields.get("Limits") or {}
    default = document.Limits()
    return document.Document(
        version=values.expect_integer(fields["Version"]),
        routes=routes,
        services=tuple(
            map(_decode_service, values.expect_list(fields["Services"]))
        ),
        limits=document.Limits(
            max_header_bytes=_decode_int(
                limits.get("MaxHeaderBytes", default.max_header_bytes)
            ),
            max_body_bytes=_decode_int(
                limits.get("MaxBodyBytes", default.max_body_bytes)
            ),
            header_timeout_s=_decode_ms(
                limits, "HeaderTimeoutMs", default.header_timeout_s
            ),
            idle_timeout_s=_decode_ms(
                limits, "IdleTimeoutMs", default.idle_timeout_s
            ),
        ),
        workspaces=tuple(
            map(_decode_workspace, _list_values(fields, "Tenants"))
        ),
    )


def _decode_workspace(fields: dict[str, Any]) -> document.Workspace:
    priority = fields.get("Priority")
    return document.Workspace(
        name=values.expect_string(fields["Name"]),
        keys=tuple(map(values.expect_string, _list_values(fields, "ApiKeys"))),
        priority=None if priority is None else _decode_int(priority),
    )


def _decode_route(fields: dict[str, Any]) -> document.Route:
    split = _list_values(fields, "TrafficSplit")
    values.expect_string(fields.get("Service") or "")
    if split:
        targets = tuple(
            document.Target(
                values.expect_string(part["Service"]),
                _decode_float(part["Weight"]),
            )
            for part in split
        )
    else:
        targets = (
            document.Target(values.expect_string(fields["Service"]), 1.0),
        )
    return document.Route(
        name=values.expect_string(fields["Name"]),
        host=values.expect_string(fields["Hostname"]),
        prefix=values.expect_string(fields["PathPrefix"]),
        kind=_KINDS[fields["Kind"]],
        targets=targets,
        timeout_s=_decode_float(fields["TimeoutMs"]) * _MS,
        objective_s=_decode_ms(fields, "TargetLatencyMs", 1.0),
        max_event_gap_s=_decode_ms(fields, "GapTargetMs", 0.0),
        priority=_decode_int(fields.get("Priority", 1)),
        max_attempts=max(1, _decode_int(fields.get("MaxAttempts", 1))),
        # The platform marks the routes that need no key.
        needs_key=not _decode_flag(fields, "AuthExempt"),
        # Despite its name, this field marks routes whose requests carry a
        # prompt, announced by the model and prompt headers.
        has_prompts=_decode_flag(fields, "SessionAffinity"),
        resumable=_decode_flag(fields, "StreamResume"),
    )


def _decode_service(fields: dict[str, Any]) -> document.Service:
    engine = fields.get("Engine")
    return document.Service(
        name=values.expect_string(fields["Name"]),
        health_path=str(fields.get("HealthPath", "/health")),
        max_connections=max(0, _decode_int(fields.get("MaxConnections", 0))),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(fields: dict[str, Any]) -> document.EngineProfile:
    return document.EngineProfile(
        slots=_decode_int(fields["Slots"]),
        kv_cache_tokens=_decode_int(fields.get("KvCapacityTokens", 0)),
        decode_step_s=_decode_float(fields["step_ms"]) * _MS,
        decode_step_per_request_s=_decode_float(fields.get("per_seq_ms", 0.0))
        * _MS,
        # `context_per_k` is in milliseconds per 1,000 tokens of context.
        decode_step_per_context_token_s=_decode_float(
            fields.get("context_per_k", 0.0)
        )
        * _MS
        / 1000,
        prefill_per_token_s=1.0 / max(1.0, _decode_float(fields["read_per_s"])),
        prefill_chunk_tokens=_decode_int(fields.get("chunk", 2048)),
        steps_per_event=_decode_int(fields.get("Stride", 1)),
        models=tuple(
            document.ModelProfile(
                name=values.expect_string(model["Name"]),
                group_size=_decode_int(model["size"]),
                initial_vm_share=_decode_float(model.get("Share", 0.0)),
                time_factor=_decode_float(model.get("pace", 1.0)),
                load_s=_decode_float(model.get("LoadS", 0.0)),
                staged_load_s=_decode_float(model.get("WarmS", 0.0)),
            )
            for model in _list_values(fields, "Models")
        ),
        max_load_starts_per_s=_decode_float(fields.get("LoadsPerS", 1.0)),
        max_concurrent_loads=_decode_int(fields.get("loads_at_once", 0)),
        max_staged_models=_decode_int(fields.get("RetainedCount", 1)),
        group_start_s=_decode_float(fields.get("FormMs", 0.0)) * _MS,
    )


def _decode_ms(fields: dict[str, Any], name: str, default: float) -> float:
    value = fields.get(name)
    return default if value is None else _decode_float(value) * _MS


def _decode_float(value: Any) -> float:
    return float(values.expect_number(value))


def _decode_int(value: Any) -> int:
    return int(values.expect_number(value))


def _decode_flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name)
    return False if value is None else values.expect_flag(value)


def _list_values(fields: dict[str, Any], name: str) -> list[Any]:
    value = fields.get(name)
    return [] if value is None else values.expect_list(value)
