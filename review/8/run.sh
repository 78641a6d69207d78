#!/bin/bash
# Plays the case once; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 play.py
