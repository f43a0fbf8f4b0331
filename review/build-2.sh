#!/bin/sh
# Build the stand-ins that the scripts of the second review start: plain Python, nothing to fetch.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins
