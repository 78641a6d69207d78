"""The number of descriptors that the process may have open."""

from __future__ import annotations

import resource
import sys


def read_limit() -> int:
    """Returns how many descriptors the operating system allows."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
