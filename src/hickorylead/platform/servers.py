"""What backend servers tell, and the orders they take, on the platform."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
from returns import result

from hickorylead.fleet import dialect, instances, orders

_PHASES = {
    "ready": instances.PHASE_READY,
    "draining": instances.PHASE_DRAINING,
}


def read_heartbeat(
    name: str, body: bytes
) -> result.Result[instances.Instance, str]:
    """Returns what a heartbeat tells, or why it cannot be read.

    Args:
        name: Id of the server's life, from the path of the call.
        body: The call's body.
    """
    try:
        found = orjson.loads(body)
        return result.Success(
            instances.Instance(
                name=name,
                service=str(found["Service"]),
                address=_read_address(found["Address"]),
                zone=str(found["Zone"]),
                domain=str(found.get("Domain") or ""),
                slots=int(found.get("Slots") or 1),
                phase=_PHASES[found["State"]],
                # On this call it counts heartbeats; elsewhere, orders.
                sequence=int(found["Sequence"]),
                models=tuple(
                    str(model["Name"]) for model in found.get("Models") or ()
                ),
                staged=_read_staged(found.get("Staged")),
                member=_read_member(found.get("group")),
            )
        )
    except KeyError as error:
        return result.Failure(f"the field {error.args[0]} is missing or wrong")
    except (
        orjson.JSONDecodeError,
        ValueError,
        TypeError,
        AttributeError,
    ) as error:
        return result.Failure(f"cannot be read: {error}")


def _read_address(value: Any) -> str:
    address = str(value)
    ip, colon, port = address.rpartition(":")
    if not colon or not ip or not port.isdigit():
        raise ValueError(f"{address!r:.40} is not ip:port")
    return address


def _read_staged(found: Any) -> tuple[str, ...]:
    return tuple(
        str(model["Name"]) if isinstance(model, dict) else str(model)
        for model in found or ()
    )


def _read_member(found: Any) -> instances.Membership:
    if not found or not found.get("Name"):
        return instances.Membership()
    return instances.Membership(
        group=str(found["Name"]),
        epoch=int(found["epoch"]),
        rank=int(found["rank"]),
        state=str(found["State"]),
    )


class Servers(dialect.ServerDialect):
    """Orders and questions, in the platform's words."""

    def write_order(self, give: orders.Give) -> dialect.Call:
        """Returns the call that gives an order."""
        body = _write_order(give.order)
        if give.expected is not None:
            # The number of orders that the server must have accepted.
            body["Expected"] = give.expected
        return dialect.Call("POST", "/order", orjson.dumps(body))

    def write_report_question(self) -> dialect.Call:
        """Returns the call that asks for a server's state."""
        return dialect.Call("GET", "/report")

    def read_report(self, body: bytes) -> int | None:
        """Returns the orders that a server says it has accepted."""
        try:
            # On this call it counts orders; in heartbeats, heartbeats.
            return int(orjson.loads(body)["Sequence"])
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
