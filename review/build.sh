#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/standin/cases
