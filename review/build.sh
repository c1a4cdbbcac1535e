#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 on its standard library; there is nothing to compile. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "lib"); import standins'
