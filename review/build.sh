#!/bin/sh
# The stand-ins are plain Python, standard library only: nothing is built but
# checked that they compile.  The programs under test come from the build of
# the deploy file (target/deps).
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PY'
import pathlib
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
PY
