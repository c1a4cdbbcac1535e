#!/usr/bin/env bash
# Writes record.txt beside this file: what was sent, answered and run.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
exec python3 "$(dirname "$0")/case.py"
