#!/bin/sh
# Builds what the scripts of the third review start, beside the build of the deploy file: the
# stand-ins for store, servers and clients, in one program.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-3/ ./review/cases3
