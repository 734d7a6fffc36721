#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile. They need no library and nothing to be built.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile harness.py ./*/case.py
