#!/usr/bin/env bash
# Installs `core` into a temporary prefix below BUILD_DIR and builds and runs examples/embed against it. Usage: tools/example.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
cmake --install "$build" --component core --prefix "$build/stage" >/dev/null
cmake -S examples/embed -B "$build/embed" -DCMAKE_PREFIX_PATH="$PWD/$build/stage" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$build/embed" >/dev/null
"$build/embed/embed"
