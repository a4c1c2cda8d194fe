#!/bin/sh
# Regenerates the committed code of schema/; needs protoc and the two plugins on PATH.
set -eu
protoc --go_out=. --go_opt=module=github.com/jaypitch/jaypitch \
  --connect-go_out=. --connect-go_opt=module=github.com/jaypitch/jaypitch \
  schema/*.proto
