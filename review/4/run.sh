#!/bin/sh
# TROUBLE=0 adds no minions.
exec python3 "$(dirname "$0")/case.py"
