#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../target/review/ ./1 ./2 ./3
