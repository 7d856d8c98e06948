#!/bin/sh
# Regenerates recordpb and peerpb. Needs protoc; the plugins are tools of the tools module.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../tools && GOWORK=off go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$bin:$PATH" protoc -I . \
  --go_out=. --go_opt=module=github.com/jacinthnotch/jacinthnotch/wire \
  record.proto
PATH="$bin:$PATH" protoc -I . \
  --go_out=. --go_opt=module=github.com/jacinthnotch/jacinthnotch/wire \
  --go-drpc_out=. --go-drpc_opt=module=github.com/jacinthnotch/jacinthnotch/wire \
  peer.proto
