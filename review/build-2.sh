#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python; this checks that they compile. The program itself is built by the deploy file's line `build`.
set -euo pipefail
cd "$(dirname "$0")"
for it in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$it" ] || continue
    python3 - "$it" <<'PY'
import sys
with open(sys.argv[1], encoding="utf-8") as file:
    compile(file.read(), sys.argv[1], "exec")
PY
done
