#!/bin/sh
# Stops a daemon by SIGTERM while requests that it has read wait for a place at an engine.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/beechhead ] || exit 2
# TROUBLE=0 leaves the disruption out.
exec target/review-2/cases queue review/6/record.txt "${TROUBLE:-1}"
