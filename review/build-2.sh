#!/bin/sh
# Builds the stand-ins that the script cases of the second review start. It needs no network.
set -e
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-rig-2 .
