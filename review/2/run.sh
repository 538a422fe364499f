#!/usr/bin/env bash
# Exits with 1 if a request that was passed on to an engine was lost around planned work, 0 if not, and 2 if the
# case could not run. Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the changes of
# the settings files; the rolling restart stays.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin lost --root . --folder review/2
