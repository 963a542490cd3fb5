#!/bin/sh
# Regenerates the code of fleet.proto. Needs Debian's protobuf-compiler; the
# plugins are the module's own tools.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
cd "$root"
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
protoc --plugin="protoc-gen-go=$bin/protoc-gen-go" --plugin="protoc-gen-go-grpc=$bin/protoc-gen-go-grpc" \
  --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative \
  api/fleet/v1/fleet.proto
