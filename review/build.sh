#!/bin/sh
# Builds the programs that the scripts start, the stand-ins included, to target/.
set -eu
cd "$(dirname "$0")/.."
for program in review/[1-5]/*/main.go; do
  go build -tags review -o target/ "./$(dirname "$program")"
done
