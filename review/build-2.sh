#!/bin/bash
# Builds the stand-ins of the cases 4 to 8: plain Python files, which are
# compiled here so that a broken one shows before a case is played.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q -f cluster_2.py replica_2.py 4 5 6 7 8
