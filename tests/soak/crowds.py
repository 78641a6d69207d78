"""Measures ordinary callers beside crowds: `python tests/soak/crowds.py`.

Each crowd of misbehaving clients is connected to a gateway of real processes,
and stays. It prints the gateway's memory, descriptors and processor time, and
which requests of ordinary callers were served meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs  # noqa: E402
from support import crowd_processes, crowds, process_meter  # noqa: E402

MIB = 1024 * 1024
CALL_PERIOD_S = 0.1


@attrs.define
class Seen:
    """What ordinary callers saw.

    Attributes:
        count: Number of their requests.
        served: Number of those that were served.
        slowest_s: Longest time of a request, served or not, in seconds.
    """

    count: int = 0
    served: int = 0
    slowest_s: float = 0.0


async def call_forever(address: tuple[str, int], seen: Seen) -> None:
    """Sends ordinary requests, each on a connection of its own."""
    request = crowd_processes.PLACES["a route"].make_head(
        "Content-Length: 5", "Connection: close"
    )

    async def call() -> None:
        began = time.monotonic()
        status = await crowd_processes.fetch_status(address, request + b"words")
        seen.count += 1
        seen.served += status == 200
        seen.slowest_s = max(seen.slowest_s, time.monotonic() - began)

    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(call())
            await asyncio.sleep(CALL_PERIOD_S)


async def measure(
    processes: crowd_processes.Processes,
    shape: crowds.Shape,
    seconds: float,
) -> str:
    """Returns a line about one crowd, which stays for some time."""
    process = await processes.start_gateway()
    address = processes.get_address("callers")
    meter = process_meter.Meter(process, address[0])
    began_s = meter.read_processor_s()
    seen = Seen()
    crowd = crowds.Crowd(shape, crowd_processes.PLACES["a route"], address)
    tasks = [
        asyncio.ensure_future(meter.run()),
        asyncio.ensure_future(call_forever(address, seen)),
    ]
    await crowd.start()
    await asyncio.sleep(seconds)
    await crowd.leave()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if process.poll() is not None:
        return f"the process has ended: {process.poll()}"
    return (
        f"{meter.usage.memory_bytes / MIB:.0f} MB,"
        f" {meter.usage.descriptors} descriptors,"
        f" {meter.read_processor_s() - began_s:.1f} s of processor time,"
        f" {seen.served} of {seen.count} served,"
        f" slowest {seen.slowest_s:.2f} s"
    )


async def run(options: argparse.Namespace) -> None:
    """Measures the crowds that were asked for."""
    with tempfile.TemporaryDirectory() as folder:
        processes = crowd_processes.Processes(
            pathlib.Path(folder),
            options.slot,
            memory_mb=options.memory_mb,
            max_descriptors=options.max_descriptors,
            sources=options.sources,
        )
        try:
            await processes.start_cluster()
            for name, shape in crowds.SHAPES.items():
                if options.only and options.only not in name:
                    continue
                count = int(options.times * shape.count)
                shape = attrs.evolve(shape, count=count)
                line = await measure(processes, shape, options.seconds)
                sys.stdout.write(f"{count} x {name}: {line}\n")
                sys.stdout.flush()
        finally:
            await processes.stop()


def main() -> None:
    """Parses the options and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--slot", type=int, default=8, help="address block")
    parser.add_argument("--only", default="", help="part of a crowd's name")
    parser.add_argument("--times", type=float, default=1.0, help="crowd size")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--memory-mb", type=int, default=300)
    parser.add_argument("--max-descriptors", type=int, default=4100)
    parser.add_argument(
        "--sources", type=pathlib.Path, help="program under test"
    )
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
