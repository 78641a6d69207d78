"""`python -m hickorylead.platform ROLE`."""

from __future__ import annotations

import sys

from hickorylead.platform import program

if __name__ == "__main__":
    sys.exit(program.run_program(sys.argv[1:]))
