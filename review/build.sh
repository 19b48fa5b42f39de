#!/usr/bin/env bash
# The stand-ins are Python files that use the standard library alone: nothing is built.
# Checks that the interpreter reads them.
set -eu
cd "$(dirname "$0")"
python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
