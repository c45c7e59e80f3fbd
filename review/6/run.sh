#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
# The placer must be built by the `build` line of deploy/balancer.toml.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "could not run: no python3"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec timeout -k 5 118 python3 case.py
