"""What backend servers tell, and the orders they take, on the platform."""

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


_GROUP_STATES = frozenset(
    (
        instances.GROUP_JOINING,
        instances.GROUP_READY,
        instances.GROUP_OPEN,
        instances.GROUP_CLOSING,
        instances.GROUP_BROKEN,
    )
)


def read_heartbeat(
    name: str, body: bytes
) -> result.Result[instances.Instance, str]:
    """Returns what a heartbeat tells, or why it cannot be read.

    Heartbeats may come from other programs. One with a field that is missing or
    of another type, or with a state that is not known here, is refused whole:
    what it says of the rest can't be trusted either.

    Args:
        name: Id of the server, from the path of the call.
        body: The call's body.
    """
    try:
        found = values.read_table(orjson.loads(body))
        return result.Success(
            instances.Instance(
                name=name,
                service=values.read_text(found["Service"]),
                address=_read_address(found["Address"]),
                zone=values.read_text(found["Zone"]),
                domain=values.read_text(found.get("Domain") or ""),
                slots=max(1, values.read_whole(found.get("Slots", 1))),
                phase=_PHASES[values.read_text(found["State"])],
                # On this call it counts heartbeats; elsewhere, orders.
                sequence=values.read_whole(found["Sequence"]),
                models=_read_names(found.get("Models")),
                staged=_read_names(found.get("Staged")),
                member=_read_member(found.get("group")),
                born=values.read_whole(found.get("born", 0)),
            )
        )
    except KeyError as error:
        return result.Failure(f"the field {error.args[0]} is missing or wrong")
    except (orjson.JSONDecodeError, ValueError, TypeError) as error:
        return result.Failure(f"cannot be read: {error}")


def read_born(body: bytes) -> result.Result[int, str]:
    """Returns when the life began that a call is about; 0 if unsaid."""
    if not body.strip():
        return result.Success(0)
    try:
        found = orjson.loads(body)
        if not isinstance(found, dict):
            return result.Success(0)
        return result.Success(values.read_whole(found.get("born", 0)))
    except (orjson.JSONDecodeError, TypeError) as error:
        return result.Failure(f"cannot be read: {error}")


def _read_address(value: Any) -> str:
    address = values.read_text(value)
    ip, colon, port = address.rpartition(":")
    if not colon or not ip or not port.isdigit():
        raise ValueError(f"{address!r:.40} is not ip:port")
    return address


def _read_names(found: Any) -> tuple[str, ...]:
    if found is None:
        return ()
    if not isinstance(found, list):
        raise TypeError(f"{found!r:.40} is not a list")
    return tuple(
        values.read_text(model["Name"] if isinstance(model, dict) else model)
        for model in found
    )


def _read_member(value: Any) -> instances.Membership:
    if value is None:
        return instances.Membership()
    found = values.read_table(value)
    if not found.get("Name"):
        return instances.Membership()
    state = values.read_text(found["State"])
    if state not in _GROUP_STATES:
        raise ValueError(f"{state!r:.40} is no state of a group")
    return instances.Membership(
        group=values.read_text(found["Name"]),
        epoch=values.read_whole(found["epoch"]),
        rank=values.read_whole(found["rank"]),
        state=state,
    )


class PlatformServerCodec(server_codec.ServerCodec):
    """Orders and questions, in the platform's words."""

    def encode_order(self, give: orders.SendOrder) -> server_codec.HttpCall:
        """Returns the call that gives an order."""
        body = _write_order(give.order)
        if give.expected is not None:
            # The number of orders that the server must have accepted.
            body["Expected"] = give.expected
        return server_codec.HttpCall("POST", "/order", orjson.dumps(body))

    def encode_report_request(self) -> server_codec.HttpCall:
        """Returns the call that asks for a server's state."""
        return server_codec.HttpCall("GET", "/report")

    def decode_notice(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> server_codec.Notice:
        """Returns what an answer says about calls to come."""
        head = headers_module.PlatformHeaderCodec().decode_response_head(
            status, headers
        )
        return server_codec.Notice(head.retry_after_s, head.is_leaving)

    def decode_report(self, body: bytes) -> server_codec.ServerReport | None:
        """Returns what a server tells of its state; None if unreadable."""
        try:
            found = values.read_table(orjson.loads(body))
            return server_codec.ServerReport(
                # On this call it counts orders; in heartbeats, heartbeats.
                accepted=values.read_whole(found["Sequence"]),
                born=values.read_whole(found.get("born", 0)),
                member=_read_member(found.get("group")),
            )
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return None


def _write_order(order: orders.Order) -> dict[str, Any]:
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
