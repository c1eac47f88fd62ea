#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
case_program=target/review-2/case-7
relay=target/release/trestlewalk
[ -x "$case_program" ] && [ -x "$relay" ] || exit 2
"$case_program" review/7 "$work" "$relay"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
