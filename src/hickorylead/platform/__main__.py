"""`python -m hickorylead.platform ROLE`."""

from __future__ import annotations

import gc
import signal
import sys

# A reload during the imports would kill the process; it is handled after them.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

# Garbage collection is off during the imports, since imported objects live as
# long as the process. It would take a tenth of the start-up time, and after a
# power loss callers wait for the start.
gc.disable()

from hickorylead.platform import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.run_program(sys.argv[1:]))
