#!/bin/sh
# Builds every stand-in that the cases start, into review/bin. Needs no network: the stand-ins use only the standard library.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../bin
GOFLAGS= GOWORK=off GOTOOLCHAIN=local go build -o ../bin/ ./case1 ./case2 ./case3
