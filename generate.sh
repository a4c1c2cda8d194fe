#!/bin/sh
# Generates the Go code in schema/ from the .proto files. Requires protoc, protoc-gen-go and protoc-gen-connect-go on PATH.
set -eu
protoc --go_out=. --go_opt=module=github.com/jaypitch/jaypitch \
  --connect-go_out=. --connect-go_opt=module=github.com/jaypitch/jaypitch \
  schema/*.proto
