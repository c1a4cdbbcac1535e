#!/usr/bin/env bash
# Installs the build tools and libraries from Debian's packages. Can be run repeatedly.
set -euo pipefail
PACKAGES="build-essential cmake ninja-build pkg-config clang-format clang-tidy curl python3
libwebsockets-dev libgrpc++-dev libprotobuf-dev libboost-dev libboost-program-options-dev libboost-log-dev
libgtest-dev libgmock-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libssl-dev"
missing=""
for p in $PACKAGES; do
    dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
