#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-rig .
