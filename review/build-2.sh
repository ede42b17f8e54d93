#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python scripts that use the standard library only, so that this checks them.
set -e
cd "$(dirname "$0")"
for file in lib-2/standin.py lib-2/checks.py 4/case.py 5/case.py 7/case.py 8/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later"'
