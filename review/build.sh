#!/bin/sh
# Builds the stand-ins of the cases. It needs the program itself in target/ (deploy/system.toml).
set -eu
cd "$(dirname "$0")/harness"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/harness .
