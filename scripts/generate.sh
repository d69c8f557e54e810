#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC sources; run after changing a .proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I . --cpp_out=. packages/records/records.proto
protoc -I . --cpp_out=. packages/rules/rule_book.proto
protoc -I . --cpp_out=. packages/workload/workload.proto
protoc -I . --cpp_out=. --grpc_out=. \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  packages/rpc/control.proto packages/rpc/worker_control.proto \
  packages/rpc/log_relay.proto
