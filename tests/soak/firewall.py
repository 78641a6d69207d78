"""Runs a role behind a firewall: `python firewall.py ROLE`.

While the firewall's file exists, new connections to backend servers are refused
or hang, as the file says. A proxy cannot do that: it has accepted a connection
before it knows whose it is.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

if __name__ == "__main__":
    # As the program itself does before its imports.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from hickorylead.platform import program  # noqa: E402

FILE_VARIABLE = "SOAK_FIREWALL"
PREFIX_VARIABLE = "SOAK_SERVER_PREFIX"
REFUSE, HANG = "refuse", "hang"


def install(path: pathlib.Path, prefix: str) -> None:
    """Filters new connections to addresses that start with a prefix."""
    loop_class = asyncio.SelectorEventLoop
    create_connection = loop_class.create_connection

    async def filter_connection(loop, factory, host=None, *args, **options):
        if host is not None and host.startswith(prefix) and path.exists():
            if path.read_text(encoding="utf-8") == REFUSE:
                raise ConnectionRefusedError(f"{host} refused the connection")
            await asyncio.Event().wait()
        return await create_connection(loop, factory, host, *args, **options)

    loop_class.create_connection = filter_connection


if __name__ == "__main__":
    install(
        pathlib.Path(os.environ[FILE_VARIABLE]), os.environ[PREFIX_VARIABLE]
    )
    sys.exit(program.run_program(sys.argv[1:]))
