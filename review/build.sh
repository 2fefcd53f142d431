#!/bin/sh
# Builds the stand-in that the scripts start, into target/review. It needs only the standard library.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review/standin .
