#!/usr/bin/env bash
# The leader stands still while clients hand jobs in, leave, and cancel at another machine.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/hyssoppaddle ] && [ -x build-review-2/case_runner ] || exit 2
timeout -k 2 115 build-review-2/case_runner cancel-after-leaving "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
