#!/bin/sh
# Builds the stand-ins of the cases, which need nothing but the standard library.
set -eu
cd "$(dirname "$0")/tools"
exec go build -trimpath -o ../../target/review/cases .
