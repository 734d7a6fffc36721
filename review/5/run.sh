#!/usr/bin/env bash
# Plays this case on loopback addresses; TROUBLE=0 leaves the disruption out. Exits with 1 if the
# rule was broken, 0 if it was kept, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 "review/5/case.py"
