#!/usr/bin/env bash
# A tenant's limit is lowered. Another tenant hands in a job for a pool that is nearly empty.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../play.sh" blocked "$(dirname "$0")/record.txt"
