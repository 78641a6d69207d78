"""Settings of a gateway process."""

from __future__ import annotations

import attrs

from hickorylead.admission import budget as budget_module
from hickorylead.intake import limits


@attrs.frozen
class Settings:
    """Settings of a gateway.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        ip: IP address at which other nodes reach it.
        caller_port: Port for callers.
        ready_port: Port of the readiness check.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        metrics_port: Port of the metrics endpoint; 0 for none.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        retry_limits: Retries that all gateways may make together.
        bind_ip: IP address to bind; empty if it is `ip`.
        memory_mb: Memory that the process may use, in MiB.
        max_descriptors: Descriptors that it may have open.
        relay_port: Port for requests that other gateways relay through this
            one; 0 to relay none.
    """

    vm: str
    zone: str
    ip: str
    caller_port: int
    ready_port: int
    peer_port: int
    seeds: tuple[str, ...]
    metrics_port: int
    grace_s: float
    retry_limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS
    bind_ip: str = ""
    memory_mb: int = limits.DEFAULT_MEMORY_MB
    max_descriptors: int = limits.DEFAULT_MAX_DESCRIPTORS
    relay_port: int = 0

    @property
    def listen_ip(self) -> str:
        """The IP address on which the process listens."""
        return self.bind_ip or self.ip
