#!/bin/sh
# Checks that the stand-ins of the cases can run here. They are Python programs that use the standard library alone, so
# there is nothing to compile: each file is parsed, and nothing is written. The project's own program is built by the
# command `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
for file in lib/standin.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, json, tomllib'
