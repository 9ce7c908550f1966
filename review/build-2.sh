#!/bin/sh
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-rig ./review/6/rig
