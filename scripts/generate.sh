#!/usr/bin/env bash
# Makes generated/ anew from the .proto files (needs protobuf-compiler 3.21).
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=../generated -I. wire/tunnel.proto wire/relay.proto packets/control.proto
