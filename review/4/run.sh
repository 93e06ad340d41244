#!/usr/bin/env bash
# Two of 20 workers reject all starts for 6.5 s. A job that fits only there has to start after that.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../play.sh" shed "$(dirname "$0")/record.txt"
