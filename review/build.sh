#!/bin/sh
# Compiles the stand-ins of the review's scripts; they need no packages.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
