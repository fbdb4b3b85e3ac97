#!/usr/bin/env bash
# The stand-ins of these cases are Python with the standard library only, so
# there is nothing to build: this checks that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

folders = [pathlib.Path('lib-2'), *(pathlib.Path(str(n)) for n in range(6, 11))]
for folder in folders:
    for path in sorted(folder.glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
END
