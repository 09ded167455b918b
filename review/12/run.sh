#!/bin/sh
# Exits with 1 if the rule was broken in one of the two parts, 0 if it held in both, 2 if a part
# couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 both.py
