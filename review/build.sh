#!/bin/sh
# Checks what the scripts need. Their stand-ins are Python programs and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -B -c 'import ast, glob; [ast.parse(open(f).read(), f) for f in glob.glob("*/*.py")]'
