#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/. It needs no module but the standard library, and no network.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../../bin/standins2 .
