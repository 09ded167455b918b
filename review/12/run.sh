#!/bin/sh
# Exits with 1 if the rule was broken in one of the two parts, 0 if it held in both, 2 if a part
# couldn't run.
cd "$(dirname "$0")" || exit 2
python3 case.py
lasting=$?
python3 rack.py
rack=$?
[ $lasting -gt 1 ] || [ $rack -gt 1 ] && exit 2
[ $lasting -eq 0 ] && [ $rack -eq 0 ] && exit 0
exit 1
