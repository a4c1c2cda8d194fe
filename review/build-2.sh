#!/bin/sh
# Builds the stand-ins of the cases of the second review, into the folder of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/second/standin
