#!/usr/bin/env bash
# Regenerates the committed gRPC code after a change of packages/net/proto/link.proto.
# Needs protobuf-compiler and protobuf-compiler-grpc, which a normal build does not need.
set -euo pipefail
cd "$(dirname "$0")/../packages/net"
protoc -I proto --cpp_out=src/generated --grpc_out=src/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/link.proto
