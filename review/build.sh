#!/bin/bash
# Builds the stand-ins of all cases into target/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/standins .
