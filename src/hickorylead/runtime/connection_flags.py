"""What all connections of an HTTP server share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.runtime import fixed_responses, intake as intake_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.draining import owed as owed_module


@attrs.define
class ConnectionFlags:
    """State that all connections of a server share.

    Attributes:
        closes_after_response: Whether responses announce the end of their
            connection, because the process is stopping.
        report_failure: Called with a request whose handler failed, and why.
        intake: Accounts for the clients of the process.
        port: Name of the port in it.
        memory_full_response: Complete response to an evicted request, which
            announces the end of the connection.
    """

    closes_after_response: bool = False
    intake: intake_module.Intake = attrs.field(factory=intake_module.Intake)
    port: str = intake_module.CLIENTS
    memory_full_response: bytes = fixed_responses.MEMORY_FULL
    report_failure: Callable[[owed_module.Owed, BaseException], None] = (
        lambda _owed, _error: None
    )
