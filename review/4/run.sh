#!/bin/sh
# A worker that has ended tasks crashes and starts again under its id.
cd "$(dirname "$0")" && exec python3 ../lib/case_reborn_cursor.py "$PWD"
