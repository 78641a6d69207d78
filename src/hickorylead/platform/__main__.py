"""`python -m hickorylead.platform ROLE`."""

from __future__ import annotations

import gc
import sys

# Imported objects live as long as the process. Collecting garbage during the
# imports takes a tenth of the start-up time, and after a power loss callers
# wait for the start.
gc.disable()

from hickorylead.platform import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.run_program(sys.argv[1:]))
