#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 review/12/case.py
