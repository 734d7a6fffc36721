#!/bin/sh
# Builds the stand-ins of the cases 11 and 12: store, upstreams and clients, which are Python modules
# without dependencies. It compiles them, so that a fault in them shows before a case is run. The
# project's own programs are built by the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/harness_3.py review/11/case.py review/12/case.py
