#!/usr/bin/env bash
# Builds the system as the deploy file says. The stand-ins in lib/ are Python (standard library only) and need no build.
cd "$(dirname "$0")/.." && exec cargo build --release --locked -p thistle-scheduler
