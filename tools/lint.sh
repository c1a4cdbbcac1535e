#!/usr/bin/env bash
# Runs clang-format on all sources that are not generated, and clang-tidy on those outside examples/. Usage: tools/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
sources=$(git ls-files -co --exclude-standard -- '*.cpp' '*.h' | grep -v '/generated/')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
units=$(git ls-files -co --exclude-standard -- '*.cpp' | grep -v -e '/generated/' -e '^examples/')
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! printf '%s\n' $units | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet >"$log" 2>/dev/null; then
    cat "$log"
    echo "lint: failed"
    exit 1
fi
echo "lint: ok"
