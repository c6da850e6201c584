#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
