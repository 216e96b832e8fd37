#!/bin/sh
# Builds the stand-ins of all scripts into target/. It needs no network once the modules of
# the project are there.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-rig ./review/rig
