#!/bin/sh
# Builds the stand-ins of the cases. It needs Go and nothing from a network: the standard library alone is used.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOPROXY=off GOFLAGS=-buildvcs=false go build -mod=mod -o bin/standin ./standin
