#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library alone (3.11 or later, for
# tomllib), so this checks that each of them compiles here; nothing is written beside the sources.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/run.py <<'PROGRAM'
import sys
import tomllib  # noqa: F401  part of Python 3.11
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} stand-ins compile")
PROGRAM
