#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library alone, and are a module of their own,
# so that neither the tests nor the linter of the project see them.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/review2 .
