#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the deploy file's
# build. All stand-ins are Python programs that need nothing but Python 3.11;
# this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
