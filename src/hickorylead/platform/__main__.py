"""`python -m hickorylead.platform ROLE`."""

from __future__ import annotations

import gc
import sys

# What is imported stays for good. To look for garbage among it meanwhile takes
# a tenth of the time that a process needs to start, and callers wait for that
# after a loss of power.
gc.disable()

from hickorylead.platform import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.run_program(sys.argv[1:]))
