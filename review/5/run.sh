#!/usr/bin/env bash
# Runs the case of claim.txt. Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves the disruption out.
export GRACE_S=10
exec "$(dirname "$0")/../standins/run-case" 5
