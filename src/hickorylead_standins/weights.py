"""A stand-in weight store that serves a limited number of loads a second."""

from __future__ import annotations

import asyncio

from aiohttp import web


class WeightStore:
    """Counts loads and refuses those that exceed its rate."""

    def __init__(self, *, loads_per_s: float, burst: int) -> None:
        """Creates a store.

        Args:
            loads_per_s: Loads allowed for each second.
            burst: Loads allowed at once.
        """
        self._rate = loads_per_s
        self._burst = burst
        self._balance = float(burst)
        self._updated_at = 0.0
        self.served = 0

    def try_load(self, now: float) -> bool:
        """Returns whether a load may be served now, and counts it if so."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._balance = min(self._burst, self._balance + elapsed_s * self._rate)
        if self._balance < 1:
            return False
        self._balance -= 1
        self.served += 1
        return True


def run_weights(
    *,
    address: str,
    port: int,
    loads_per_s: float = 50.0,
    burst: int = 8,
) -> None:
    """Run a stand-in weight store until interrupted.

    Args:
        address: IP number.
        port: TCP port.
        loads_per_s: Loads allowed for each second.
        burst: Loads allowed at once.
    """

    async def run() -> None:
        store = WeightStore(loads_per_s=loads_per_s, burst=burst)
        loop = asyncio.get_running_loop()

        async def load(_: web.Request) -> web.Response:
            if store.try_load(loop.time()):
                return web.Response(body=b"weights")
            return web.Response(status=429, headers={"Retry-After": "1"})

        app = web.Application()
        app.add_routes([web.get("/weights/{name}", load)])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
        await asyncio.Event().wait()

    asyncio.run(run())
