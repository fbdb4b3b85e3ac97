#!/bin/bash
# Builds the stand-ins of the third review's scripts. They are Python files of
# the standard library, so there is nothing to compile: this checks that the
# interpreter is new enough and that all of them can be read.
set -e
cd "$(dirname "$0")"
exec python3 - lib-3/*.py 1[1-5]/*.py <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('the scripts need Python 3.11')
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(), name)
CHECK
