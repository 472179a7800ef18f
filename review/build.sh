#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no build. Checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 -B - <<'PY'
import glob
for path in glob.glob("standin/*.py") + glob.glob("[0-9]/*.py"):
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
PY
