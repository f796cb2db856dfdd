#!/bin/sh
# Builds review/harness, the stand-ins that review/2/run.sh to review/4/run.sh start, into target/review/.
# The program itself is built by the deploy file (deploy/system.toml).
set -eu
cd "$(dirname "$0")/.."
GOFLAGS=-mod=mod GOWORK=off go build -C review/harness -o "$PWD/target/review/harness" .
