#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../target/review-2/ ./4 ./5 ./6 ./7 ./8
