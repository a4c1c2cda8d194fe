#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. The build of the deploy file comes before.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-3/ ./review/third/standin/case...
