#!/bin/sh
# A worker crashes and starts again under its id; later it is cut off.
cd "$(dirname "$0")" && exec python3 ../lib/case_reborn_lease.py "$PWD"
