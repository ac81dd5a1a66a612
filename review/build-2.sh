#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, besides the build of the deploy file.
#
# Their stand-ins are Python programs of this folder, which need Python 3.8 or later and nothing
# else; this only checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in common-2/*.py {6,7,8,9,10}/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
