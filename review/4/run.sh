#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-harness ] || exit 2
timeout -k 1 118 ../../target/review-harness reborn .
code=$?
[ $code -le 2 ] && exit $code
exit 2
