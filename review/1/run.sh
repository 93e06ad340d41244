#!/usr/bin/env bash
# A node that has just started is killed and started again while the leader stands still for less than a second.
# Its clients must be given the answers to their own calls.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../play.sh" foreign "$(dirname "$0")/record.txt"
