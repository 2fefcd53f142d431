#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-standin-2 .
