#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python 3 and need no build. This checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py */run.py; do
  case "$file" in
    [123]/*) continue ;;
  esac
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "the stand-ins of the cases 6 to 10 can be read"
