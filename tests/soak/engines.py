"""Backend servers of the soak: stand-ins with a strict model of groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import time

import orjson
from support import simulated_servers

from hickorylead.fleet import instances, orders
from hickorylead_standins import platform
from soak import checker as checker_module

MEAN_WORK_S = 0.05
# Time from the first event of a run with a crashing part to the crash.
CRASH_DELAY_S = 0.05
# Range of the delay of an order that is carried out late, in seconds.
LATE_ORDER_S = (0.5, 4.0)
PORT = 7810
MODEL = "tiny"
HEARTBEAT_S = 0.4
CALL_TIMEOUT_S = 1.0


class ServerFaults:
    """Faults that all servers currently show; shared and mutable."""

    def __init__(self, rng: random.Random) -> None:
        """Makes the state without faults."""
        self.rng = rng
        self.lost_response_share = 0.0
        self.late_order_share = 0.0
        # Parts of prompts that end the server that begins to respond, and what
        # to do with such a server.
        self.crashing_parts: set[str] = set()
        self.crash_server: Callable[[str], None] = lambda _: None

    def should_lose_response(self) -> bool:
        """Returns whether the next response is to be lost."""
        return self.rng.random() < self.lost_response_share

    def should_delay_order(self) -> bool:
        """Returns whether the next order is to be carried out late."""
        return self.rng.random() < self.late_order_share


class Engine(platform.PlatformServer):
    """One backend server; without a domain it cannot be in a group."""

    def __init__(
        self,
        name: str,
        *,
        ip: str,
        bind_ip: str,
        zone: str,
        domain: str,
        controls: list[str],
        checker: checker_module.Checker,
        faults: ServerFaults,
        all_engines: dict[str, Engine],
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
        self._checker = checker
        self._faults = faults
        self._all_engines = all_engines

    async def start(self) -> None:
        """Opens the port and begins to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.bind_ip, PORT
        )
        self._spawn(self._send_heartbeats())
        self._spawn(self._advance_model())

    def crash(self) -> None:
        """Stops without notice, resetting its connections."""
        self.alive = False
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    async def drain_and_stop(self) -> None:
        """Reports that it drains, serves for 2.5 s more, and stops."""
        self.state = "draining"
        self.model.phase = instances.PHASE_DRAINING
        await self.send_heartbeat()
        await asyncio.sleep(2.5)
        await self.deregister()
        self.crash()

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _advance_model(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            before = self.model.member.state
            if self.model.advance(time.monotonic()):
                member = self.model.member
                if member.state == instances.GROUP_READY != before:
                    self._checker.record_ready(
                        self.name, member.group, member.epoch
                    )
                self._spawn(self.send_heartbeat())

    async def send_heartbeat(self) -> int:
        """Sends a heartbeat; returns the status, 0 if none succeeded."""
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
            heartbeat = self.model.make_heartbeat()
            body["Domain"] = self.domain
            body["Staged"] = list(heartbeat.staged)
            body["Models"] = [{"Name": name} for name in heartbeat.models]
            if heartbeat.member.group:
                body["group"] = {
                    "Name": heartbeat.member.group,
                    "epoch": heartbeat.member.epoch,
                    "rank": heartbeat.member.rank,
                    "State": heartbeat.member.state,
                }
        return await self._call("heartbeat", body)

    async def _call(self, verb, body) -> int:
        for control in self._controls:
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    status = await platform.post_json(
                        control,
                        f"/instances/{self.name}/{verb}",
                        body,
                        self.bind_ip,
                    )
            except TimeoutError:
                # Partitioned, frozen or blackholed: tries the next one.
                continue
            if status == 200:
                return status
        return 0

    # Orders.

    def _handle_order(self, order) -> int:
        now = time.monotonic()
        decoded = _decode_order(order)
        if isinstance(decoded, orders.Join):
            self._check_single_group(decoded)
        status = self.model.apply_order(decoded, order.get("Expected"), now)
        self._order_count = self.model.accepted
        if status < 300:
            self._spawn(self.send_heartbeat())
        return status

    async def _apply_late_order(self, order) -> None:
        await asyncio.sleep(self._faults.rng.uniform(*LATE_ORDER_S))
        self._handle_order(order)

    def _check_single_group(self, join: orders.Join) -> None:
        """Checks that a member of a serving group joins no other group."""
        member = self.model.member
        if not member.group or member.group == join.group:
            return
        head = self._all_engines.get(self.model.members[0])
        if head is None or not head.alive:
            return
        head_member = head.model.member
        if head_member.state == instances.GROUP_OPEN and (
            head_member.group,
            head_member.epoch,
        ) == (
            member.group,
            member.epoch,
        ):
            self._checker.report_violation(
                "one group per server",
                f"{self.name} joins {join.group} out of {member.group}",
            )

    # Requests.

    async def _respond(self, request, writer) -> None:
        if request.target == "/order" and self._faults.should_delay_order():
            order = orjson.loads(request.body)
            self._spawn(self._apply_late_order(order))
            # The sender gets no response and closes the connection.
            await asyncio.sleep(LATE_ORDER_S[1])
            return
        if request.target in ("/order", "/report"):
            await super()._respond(request, writer)
            return
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.name)
        if attempt:
            service = "model" if self.domain else "plain"
            self._checker.record_arrival(attempt, service, time.monotonic())
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
        run = self._record_run(attempt, headers)
        await asyncio.sleep(self._faults.rng.uniform(0.0, 2 * MEAN_WORK_S))
        run.ended_at = time.monotonic()
        if self._faults.should_lose_response():
            run.broke_off = True
            writer.transport.abort()
            return
        platform.write_response(
            writer,
            200,
            checker_module.make_body(attempt),
            **{"Attempt-Id": attempt, "Server-Seal": self.name},
        )

    def _record_run(self, attempt: str, headers) -> checker_module.Run:
        run = checker_module.Run(
            attempt, self.name, headers.get("tenant", ""), time.monotonic()
        )
        self._checker.record_run(run)
        return run

    async def _run_stream(self, request, attempt: str, writer) -> None:
        member, members = self.model.member, self.model.members
        if not await self._wait_for_members(members):
            platform.write_response(writer, 503, b"", **{"Not-Executed": "1"})
            return
        self._checker.check_complete_group(
            self.name, member.group, member.epoch, members
        )
        run = self._record_run(attempt, request.headers)
        try:
            run.broke_off = not await self._send_events(
                request, attempt, members, writer
            )
        finally:
            run.ended_at = time.monotonic()
            run.broke_off = run.broke_off or not self.alive

    async def _send_events(
        self, request, attempt: str, members: tuple[str, ...], writer
    ) -> bool:
        """Sends a stream; returns whether it was sent completely."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {attempt}\r\n".encode()
            + f"Server-Seal: {self.name}\r\n\r\n".encode()
        )
        prefix = request.headers.get("prompt-prefix", "")
        parts = {entry.partition(":")[0] for entry in prefix.split(",")[:-1]}
        crashing = parts & self._faults.crashing_parts
        for part in crashing:
            self._checker.record_crashing_run(part, time.monotonic())
        shape = checker_module.decode_shape(request.target)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, shape.count + 1):
            if not await self._wait_for_members(members):
                writer.transport.abort()
                return False
            event = checker_module.make_event(attempt, number, shape.padding)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if crashing:
                await asyncio.sleep(CRASH_DELAY_S)
                self._faults.crash_server(self.name)
                return False
            if self._faults.should_lose_response():
                writer.transport.abort()
                return False
            await asyncio.sleep(shape.interval_s)
        writer.write(b"0\r\n\r\n")
        return True

    async def _wait_for_members(self, members: tuple[str, ...]) -> bool:
        """Waits while a member is down.

        Returns:
            Whether all members are up; False after a time-out, when the head
            aborts its streams, or when its own epoch has changed.
        """
        deadline = time.monotonic() + simulated_servers.STALL_S
        epoch = self.model.member.epoch
        while not all(
            name in self._all_engines
            and self._all_engines[name].alive
            and self._all_engines[name].model.member.epoch == epoch
            for name in members
        ):
            await asyncio.sleep(0.05)
            if time.monotonic() > deadline or self.model.member.epoch != epoch:
                return False
        return True


def _decode_order(order) -> orders.Order:
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
