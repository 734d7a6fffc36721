#!/usr/bin/env bash
# Builds what the scripts of the second review start: nothing but Python files that need the standard
# library. They are compiled, so that a fault shows here and not in a run.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile review/harness_2.py review/upstream_2.py review/[6-9]/case.py review/10/case.py
