"""Stand-ins of plain replicas, by the pages: heartbeats and answers.

One process holds a replica; it writes a line to standard output for each
request that it runs or breaks off.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

import harness

# Size of the pieces in which an answer is written, in bytes.
PIECE_BYTES = 32 * 1024


class Replica:
    """One sound replica of a plain service, but for what a case asks for."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Makes a replica; `run` starts it."""
        self._options = options
        self._born = int(time.time() * 1000)
        self._running = 0
        self._count = 0

    async def run(self) -> None:
        """Serves until the process is ended."""
        options = self._options
        server = await asyncio.start_server(
            self._serve, options.ip, options.port
        )
        async with server:
            await self._send_heartbeats()

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                "Service": self._options.service,
                "Address": f"{self._options.ip}:{self._options.port}",
                "Zone": self._options.zone,
                "Version": "v1",
                "Slots": self._options.slots,
                "State": "ready",
                "ColdLeftMs": 0,
                "Sequence": sequence,
                "born": self._born,
            }
            for control in self._options.controls.split(","):
                status, _ = await asyncio.to_thread(
                    harness.call,
                    control,
                    "POST",
                    f"/instances/{self._options.id}/heartbeat",
                    body,
                )
                if status == 200:
                    break
            await asyncio.sleep(harness.HEARTBEAT_MS / 1000.0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                await self._respond(*request, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The caller closed its connection.
            pass
        finally:
            writer.close()

    async def _respond(
        self,
        target: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        options = self._options
        if target == "/health":
            _write_head(writer, 200, 0, {"Instance-Id": options.id})
            await writer.drain()
            return
        if target == "/report":
            _write_head(writer, 404, 0, {})
            await writer.drain()
            return
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", options.id) != options.id:
            fields = {"Attempt-Id": attempt, "Not-Executed": "1"}
            _write_head(writer, 421, 0, fields)
            await writer.drain()
            return
        self._count += 1
        number = self._count
        self._running += 1
        body = make_body(options.id, number, options.answer_bytes)
        await asyncio.sleep(options.work_ms / 1000.0)
        self._running -= 1
        _write_head(
            writer,
            200,
            len(body),
            {
                "Attempt-Id": attempt,
                "Server-Seal": f"{options.id}.{number}",
                "Server-Load": f"{self._running},0,{options.slots}",
                "Content-Type": "application/octet-stream",
            },
        )
        every = round(1 / options.break_share) if options.break_share else 0
        is_broken_off = bool(every) and number % every == 0
        end = int(len(body) * options.break_at) if is_broken_off else len(body)
        for start in range(0, end, PIECE_BYTES):
            writer.write(body[start : min(end, start + PIECE_BYTES)])
            await writer.drain()
        _report(
            event="broke_off" if is_broken_off else "answered",
            attempt=attempt,
            replica=options.id,
            number=number,
        )
        if is_broken_off:
            await asyncio.sleep(0.05)
            writer.transport.abort()


def make_body(replica: str, number: int, size: int) -> bytes:
    """Returns the body of an answer; it names its replica in each line."""
    line = f"{replica} {number:06}\n".encode()
    return (line * (size // len(line) + 1))[:size]


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    first = await reader.readline()
    if not first:
        return None
    target = first.decode().split(" ")[1]
    headers: dict[str, str] = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    if size:
        await reader.readexactly(size)
    return target, headers


def _write_head(
    writer: asyncio.StreamWriter,
    status: int,
    size: int,
    fields: dict[str, str],
) -> None:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {size}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append("Keep-Alive: timeout=5")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())


def _report(**fields: Any) -> None:
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, default=8120)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--answer-bytes", type=int, default=800)
    # Share of the answers that are broken off, evenly, and after which part.
    parser.add_argument("--break-share", type=float, default=0.0)
    parser.add_argument("--break-at", type=float, default=0.8)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(Replica(_read_options()).run())
