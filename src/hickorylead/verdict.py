"""The verdict on whether a request may have run on a backend server."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """Whether one submission of a request may have run.

    NOT_RUN is only used when no byte was sent to a backend server, or when the
    server itself, under its own name, stated that it did not start the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Returns the verdict on a request from the verdicts on two attempts."""
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
