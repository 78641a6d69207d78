"""A serving system for models whose replicas span several VMs."""

from __future__ import annotations

__version__ = "0.1.0"
