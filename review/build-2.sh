#!/bin/sh
# The stand-ins of the second review are Python programs and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in site_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py ../support/edge_site.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
