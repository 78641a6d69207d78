"""Backend servers of the soak: the stand-in's calls, a strict group model."""

from __future__ import annotations

import asyncio
import random
import time

import orjson
from support import simulated_servers

from hickorylead.fleet import instances, orders
from hickorylead_standins import platform
from soak import judge as judge_module

EVENT_S = 0.02
WORK_S = 0.05
# An order that is carried out late comes after this, in seconds.
LATE_S = (0.5, 4.0)
PORT = 7810
MODEL = "tiny"
BEAT_S = 0.4
CALL_S = 1.0


class Trouble:
    """What all servers do wrong at present; shared and mutable."""

    def __init__(self, rng: random.Random) -> None:
        """Makes servers that do everything right."""
        self.rng = rng
        self.lost_share = 0.0
        self.late_share = 0.0

    def loses(self) -> bool:
        """Says whether the next answer is lost."""
        return self.rng.random() < self.lost_share

    def is_late(self) -> bool:
        """Says whether the next order is carried out late."""
        return self.rng.random() < self.late_share


class Engine(platform.PlatformServer):
    """One backend server; without a domain it is a plain one."""

    def __init__(
        self,
        name: str,
        *,
        ip: str,
        bind_ip: str,
        zone: str,
        domain: str,
        controls: list[str],
        judge: judge_module.Judge,
        trouble: Trouble,
        everyone: dict[str, Engine],
    ) -> None:
        """Makes a server; `start` opens its port."""
        super().__init__(
            name,
            service="models" if domain else "desk",
            address=f"{ip}:{PORT}",
            zone=zone,
            controls=controls,
            domain=domain,
        )
        self.bind_ip = bind_ip
        self.zone = zone
        self.domain = domain
        self.alive = True
        self.model = simulated_servers.SimulatedServer(name, zone, domain)
        self._judge = judge
        self._trouble = trouble
        self._everyone = everyone

    async def start(self) -> None:
        """Opens the port and begins to tell of itself."""
        self._server = await asyncio.start_server(
            self._serve, self.bind_ip, PORT
        )
        self._spawn(self._send_heartbeats())
        self._spawn(self._turn_over())

    def crash(self) -> None:
        """Ends without a word."""
        self.alive = False
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    async def leave(self) -> None:
        """Says that it drains, serves on for a while, and ends."""
        self.state = "draining"
        self.model.phase = instances.PHASE_DRAINING
        await self.send_heartbeat()
        await asyncio.sleep(2.5)
        await self.deregister()
        self.crash()

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(BEAT_S)

    async def _turn_over(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            before = self.model.member.state
            if self.model.advance(time.monotonic()):
                member = self.model.member
                if member.state == instances.GROUP_READY != before:
                    self._judge.note_ready(
                        self.name, member.group, member.epoch
                    )
                self._spawn(self.send_heartbeat())

    async def send_heartbeat(self) -> int:
        """Tells of itself; returns the status of the answer."""
        self._heartbeat_count += 1
        body = {
            "Service": self._service,
            "Address": self._address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 6,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self._heartbeat_count,
        }
        if self.domain:
            told = self.model.make_heartbeat()
            body["Domain"] = self.domain
            body["Staged"] = list(told.staged)
            body["Models"] = [{"Name": name} for name in told.models]
            if told.member.group:
                body["group"] = {
                    "Name": told.member.group,
                    "epoch": told.member.epoch,
                    "rank": told.member.rank,
                    "State": told.member.state,
                }
        return await self._call("heartbeat", body)

    async def _call(self, verb, body) -> int:
        for control in self._controls:
            try:
                async with asyncio.timeout(CALL_S):
                    status = await platform.post_json(
                        control,
                        f"/instances/{self.name}/{verb}",
                        body,
                        self.bind_ip,
                    )
            except TimeoutError:
                # Cut off, frozen or silent: the next one is asked.
                continue
            if status == 200:
                return status
        return 0

    # Orders.

    def _handle_order(self, order) -> int:
        now = time.monotonic()
        found = _read_order(order)
        if isinstance(found, orders.Join):
            self._check_two(found)
        status = self.model.apply_order(found, order.get("Expected"), now)
        self._order_count = self.model.accepted
        if status < 300:
            self._spawn(self.send_heartbeat())
        return status

    async def _take_late(self, order) -> None:
        await asyncio.sleep(self._trouble.rng.uniform(*LATE_S))
        self._handle_order(order)

    def _check_two(self, join: orders.Join) -> None:
        """Checks that a server in a group that serves takes no other one."""
        member = self.model.member
        if not member.group or member.group == join.group:
            return
        head = self._everyone.get(self.model.members[0])
        if head is None or not head.alive:
            return
        held = head.model.member
        if held.state == instances.GROUP_OPEN and (held.group, held.epoch) == (
            member.group,
            member.epoch,
        ):
            self._judge.complain(
                "one group a server",
                f"{self.name} joins {join.group} out of {member.group}",
            )

    # Requests.

    async def _respond(self, request, writer) -> None:
        if request.target == "/order" and self._trouble.is_late():
            order = orjson.loads(request.body)
            self._spawn(self._take_late(order))
            # The caller hears nothing, and closes in the end.
            await asyncio.sleep(LATE_S[1])
            return
        if request.target in ("/order", "/report"):
            await super()._respond(request, writer)
            return
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.name)
        if expected != self.name or (self.domain and self.model.member.rank):
            platform.write_response(writer, 421, b"")
            return
        is_open = self.model.member.state == instances.GROUP_OPEN
        if self.domain and not is_open:
            platform.write_response(writer, 503, b"", **{"Not-Executed": "1"})
            return
        if self.domain:
            await self._run_stream(request, attempt, writer)
            return
        self._begin(attempt, headers)
        await asyncio.sleep(self._trouble.rng.uniform(0.0, 2 * WORK_S))
        if self._trouble.loses():
            writer.transport.abort()
            return
        platform.write_response(
            writer,
            200,
            judge_module.make_body(attempt),
            **{"Attempt-Id": attempt, "Server-Seal": self.name},
        )

    def _begin(self, attempt: str, headers) -> None:
        self._judge.note_run(
            judge_module.Run(
                attempt, self.name, headers.get("tenant", ""), time.monotonic()
            )
        )

    async def _run_stream(self, request, attempt: str, writer) -> None:
        member, members = self.model.member, self.model.members
        if not await self._wait_members(members):
            platform.write_response(writer, 503, b"", **{"Not-Executed": "1"})
            return
        self._judge.check_whole(self.name, member.group, member.epoch, members)
        self._begin(attempt, request.headers)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {attempt}\r\n".encode()
            + f"Server-Seal: {self.name}\r\n\r\n".encode()
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, judge_module.EVENTS + 1):
            if not await self._wait_members(members):
                writer.transport.abort()
                return
            event = judge_module.make_event(attempt, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if self._trouble.loses():
                writer.transport.abort()
                return
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    async def _wait_members(self, members: tuple[str, ...]) -> bool:
        """Waits while a member is gone; the head breaks after a while."""
        ends = time.monotonic() + simulated_servers.STALL_S
        epoch = self.model.member.epoch
        while not all(
            name in self._everyone
            and self._everyone[name].alive
            and self._everyone[name].model.member.epoch == epoch
            for name in members
        ):
            await asyncio.sleep(0.05)
            if time.monotonic() > ends or self.model.member.epoch != epoch:
                return False
        return True


def _read_order(order) -> orders.Order:
    match order["Operation"]:
        case "Stage":
            return orders.Stage(order["Model"])
        case "join":
            return orders.Join(
                order["group"],
                order["epoch"],
                order["Model"],
                tuple(order["Members"]),
            )
        case "open":
            return orders.Open(order["group"], order["epoch"])
        case "close":
            return orders.Close(
                order["group"],
                order["epoch"],
                cut=order.get("CloseMode") == "cut",
            )
    return orders.Leave(order["group"], order["epoch"])
