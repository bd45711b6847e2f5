#!/usr/bin/env bash
# Case 3: a keeper that is sent a large snapshot while the leader makes the next one never catches up.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/release/wingshed-node, as the deploy file builds it.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/3/case.py
