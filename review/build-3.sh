#!/bin/sh
# Builds the stand-ins of the cases 9 to 13 into target/. It needs the Go toolchain only: rig3 has no
# dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/rig3
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/rig3 .
