"""Settings of a coordinator process."""

from __future__ import annotations

import attrs

from hickorylead.intake import limits


@attrs.frozen
class Settings:
    """Settings of a coordinator.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        zones: All availability zones.
        ip: IP address at which other nodes reach it.
        control_port: Port for backend servers and operators.
        peer_port: Port for the other processes of the system.
        seeds: Peer addresses of a few coordinators.
        metrics_port: Port of the metrics endpoint; 0 for none.
        may_bootstrap: Whether the system starts for the first time.
        data_folder: Data folder on disk.
        heartbeat_s: Interval of backend servers' heartbeats, in seconds.
        max_lost_disks: Number of disks that may be lost at the same time.
        catch_up_s: Time after which a coordinator that has started is relied
            upon, in seconds.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        bind_ip: IP address to bind; empty if it is `ip`.
        memory_mb: Memory that the process may use, in MiB.
        max_descriptors: Descriptors that it may have open.
    """

    vm: str
    zone: str
    zones: tuple[str, ...]
    ip: str
    control_port: int
    peer_port: int
    seeds: tuple[str, ...]
    metrics_port: int
    may_bootstrap: bool
    data_folder: str
    heartbeat_s: float
    max_lost_disks: int
    catch_up_s: float
    grace_s: float = 8.0
    bind_ip: str = ""
    memory_mb: int = limits.DEFAULT_MEMORY_MB
    max_descriptors: int = limits.DEFAULT_MAX_DESCRIPTORS

    @property
    def listen_ip(self) -> str:
        """The IP address on which the process listens."""
        return self.bind_ip or self.ip
