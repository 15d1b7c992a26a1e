#!/bin/sh
# Prepares the stand-ins of the cases. They are Python scripts that use the standard library only: there is nothing to build, so this
# checks that the interpreter can read them.
set -eu
cd "$(dirname "$0")/.."
python3 - support/edge_site.py support/soak_proxy.py review/*.py review/*/*.py <<'PYTHON'
import sys

for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PYTHON
