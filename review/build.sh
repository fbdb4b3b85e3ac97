#!/bin/sh
# Builds the stand-ins of the scripts: they are Python files without
# dependencies, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c "
import pathlib
for path in sorted(pathlib.Path('lib').glob('*.py')):
    compile(path.read_text(), str(path), 'exec')
"
