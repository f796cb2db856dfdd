#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. It needs no network:
# they use the standard library alone, in a module of their own.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
export GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off
go build -o ../../target/review-standins-2 .
