#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program with callers, sync pools and the bulletin. It needs Go alone.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p bin
GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/ .
