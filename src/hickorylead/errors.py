"""Errors that end a command, and their exit codes."""

from __future__ import annotations

from typing import ClassVar


class HickoryleadError(Exception):
    """Base of all errors that end a command with a plain message."""

    exit_code: ClassVar[int] = 1


class SettingsError(HickoryleadError):
    """Settings are missing or out of range; nothing was started."""

    exit_code = 2


class ConflictError(HickoryleadError):
    """A change conflicts with another one made from the same version."""

    exit_code = 3


class RefusedError(HickoryleadError):
    """The system refused a change or a query; the message says why."""

    exit_code = 4


class UnreachableError(HickoryleadError):
    """No entry responded, or the response was lost."""

    exit_code = 5


class DataFolderError(HickoryleadError):
    """The data folder is corrupt, or belongs to another VM."""

    exit_code = 6
