#!/bin/sh
# Replicas lose their disks one after the other.
cd "$(dirname "$0")" && exec python3 ../lib/case_lost_disks.py "$PWD"
