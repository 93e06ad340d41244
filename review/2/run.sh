#!/usr/bin/env bash
# A tenant's limit is lowered. Its job in one pool waits for its job in another pool, which ends.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../play.sh" quota "$(dirname "$0")/record.txt"
