"""Plain backend servers that answer with the workspace that they are shown."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

from hickorylead_standins import platform  # noqa: E402
from soak import engines  # noqa: E402

HEARTBEAT_S = 1.2
SILENT_S = 30.0
# Body of large responses.
LARGE = bytes(4 * 1024 * 1024)


class PlainServer(platform.PlatformServer):
    """A server whose responses tell which configuration its gateway obeys."""

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _respond(self, request, writer) -> None:
        if request.target == "/order" or request.target == "/report":
            platform.write_response(writer, 404, b"")
            return
        if request.target.startswith("/silent/"):
            await asyncio.sleep(SILENT_S)
        is_large = request.target.endswith("/large")
        platform.write_response(
            writer,
            200,
            LARGE if is_large else request.headers.get("tenant", "").encode(),
            **{
                "Attempt-Id": request.headers.get("attempt-id", ""),
                "Server-Seal": self.name,
            },
        )


async def serve(options: argparse.Namespace) -> None:
    """Serves until the process receives SIGTERM."""
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    for number, zone in enumerate(options.zones.split(",")):
        for place in range(options.per_zone):
            last = 200 + 10 * number + place
            server = PlainServer(
                f"p{last}",
                service="desk",
                address=f"{options.prefix}.{last}:{engines.PORT}",
                zone=zone,
                controls=options.controls.split(","),
            )
            await server.start()
    await stopped.wait()


def main() -> None:
    """Runs the servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--zones")
    parser.add_argument("--per-zone", type=int, default=3)
    parser.add_argument("--prefix", help="first three parts of IP addresses")
    parser.add_argument("--controls")
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
