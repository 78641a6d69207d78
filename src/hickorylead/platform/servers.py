"""Codec of heartbeats and reports from backend servers, and orders to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson
from returns import result

from hickorylead.fleet import instances, orders, server_codec
from hickorylead.platform import headers as headers_module, values

if TYPE_CHECKING:
    from collections.abc import Sequence

_PHASES = {
    "ready": instances.PHASE_READY,
    "draining": instances.PHASE_DRAINING,
}

MAX_PORT = 65535

_GROUP_STATES = frozenset(
    (
        instances.GROUP_JOINING,
        instances.GROUP_READY,
        instances.GROUP_OPEN,
        instances.GROUP_CLOSING,
        instances.GROUP_BROKEN,
    )
)


def decode_heartbeat(
    name: str, body: bytes
) -> result.Result[instances.Instance, str]:
    """Returns the server that a heartbeat describes, or why it is invalid.

    Heartbeats may come from other programs. A heartbeat with a missing field, a
    field of the wrong type or an unknown state is rejected completely, because
    its other fields can't be trusted either.

    Args:
        name: Id of the server, from the request path.
        body: Request body.
    """
    try:
        fields = values.expect_object(orjson.loads(body))
        # The product does not use these fields.
        values.expect_string(fields["Version"])
        values.expect_number(fields["ColdLeftMs"])
        return result.Success(
            instances.Instance(
                name=_check_name(name),
                service=values.expect_string(fields["Service"]),
                address=_decode_address(fields["Address"]),
                zone=values.expect_string(fields["Zone"]),
                domain=values.expect_string(fields.get("Domain") or ""),
                slots=max(1, values.expect_count(fields["Slots"])),
                phase=_PHASES[values.expect_string(fields["State"])],
                # `Sequence` counts heartbeats in a heartbeat, and orders in a
                # report.
                sequence=values.expect_count(fields["Sequence"]),
                models=_decode_names(fields.get("Models")),
                staged=_decode_names(fields.get("Staged")),
                member=_decode_member(fields.get("group")),
                born=values.expect_count(fields.get("born", 0)),
            )
        )
    except KeyError as error:
        return result.Failure(f"the field {error.args[0]} is missing or wrong")
    except (orjson.JSONDecodeError, ValueError, TypeError) as error:
        return result.Failure(f"cannot be decoded: {error}")


def decode_start_time(body: bytes) -> result.Result[int, str]:
    """Returns the start time of the incarnation; 0 if not specified."""
    if not body.strip():
        return result.Success(0)
    try:
        fields = values.expect_object(orjson.loads(body))
        return result.Success(values.expect_count(fields.get("born", 0)))
    except (orjson.JSONDecodeError, ValueError, TypeError) as error:
        return result.Failure(f"cannot be decoded: {error}")


def _check_name(name: str) -> str:
    """Returns the name if it can be sent in a header.

    Raises:
        ValueError: It cannot.
    """
    if not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError(f"{name!r:.40} is not an id")
    return name


def _decode_address(value: Any) -> str:
    address = values.expect_string(value)
    ip, colon, port = address.rpartition(":")
    if (
        not colon
        or not ip
        or not port.isdecimal()
        or not 0 < int(port) <= MAX_PORT
    ):
        raise ValueError(f"{address!r:.40} is not ip:port")
    return address


def _decode_names(fields: Any) -> tuple[str, ...]:
    if fields is None:
        return ()
    if not isinstance(fields, list):
        raise TypeError(f"{fields!r:.40} is not a list")
    return tuple(
        values.expect_string(
            model["Name"] if isinstance(model, dict) else model
        )
        for model in fields
    )


def _decode_member(value: Any) -> instances.Membership:
    if value is None:
        return instances.Membership()
    fields = values.expect_object(value)
    if not fields.get("Name"):
        return instances.Membership()
    state = values.expect_string(fields["State"])
    if state not in _GROUP_STATES:
        raise ValueError(f"{state!r:.40} is not a state of a group")
    return instances.Membership(
        group=values.expect_string(fields["Name"]),
        epoch=values.expect_count(fields["epoch"]),
        rank=values.expect_count(fields["rank"]),
        state=state,
    )


class PlatformServerCodec(server_codec.ServerCodec):
    """Codec of the platform's calls between coordinators and servers."""

    def encode_order(self, effect: orders.SendOrder) -> server_codec.HttpCall:
        """Returns the call that sends an order."""
        body = _encode_order(effect.order)
        if effect.expected is not None:
            # The number of orders that the server must have accepted.
            body["Expected"] = effect.expected
        return server_codec.HttpCall("POST", "/order", orjson.dumps(body))

    def encode_report_request(self) -> server_codec.HttpCall:
        """Returns the call that probes a server's state."""
        return server_codec.HttpCall("GET", "/report")

    def decode_notice(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> server_codec.Notice:
        """Returns the notice about future calls in an HTTP response."""
        head = headers_module.PlatformHeaderCodec().decode_response_head(
            status, headers
        )
        return server_codec.Notice(head.retry_after_s, head.is_leaving)

    def decode_report(self, body: bytes) -> server_codec.ServerReport | None:
        """Returns a server's report of its state; None if malformed."""
        try:
            fields = values.expect_object(orjson.loads(body))
            return server_codec.ServerReport(
                # In a report, `Sequence` is the number of accepted orders; in a
                # heartbeat, it is the number of heartbeats.
                accepted=values.expect_count(fields["Sequence"]),
                born=values.expect_count(fields.get("born", 0)),
                member=_decode_member(fields.get("group")),
            )
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return None


def _encode_order(order: orders.Order) -> dict[str, Any]:
    match order:
        case orders.Join():
            return {
                "Operation": "join",
                "group": order.group,
                "epoch": order.epoch,
                "Model": order.model,
                "Members": list(order.members),
            }
        case orders.Open():
            return {"Operation": "open", **attrs.asdict(order)}
        case orders.Close(group, epoch, cut):
            return {
                "Operation": "close",
                "group": group,
                "epoch": epoch,
                "CloseMode": "cut" if cut else "wait",
            }
        case orders.Leave():
            return {"Operation": "leave", **attrs.asdict(order)}
        case orders.Stage(model):
            return {"Operation": "Stage", "Model": model}
