#!/bin/sh
# Compiles the stand-ins that the scripts start; they need only Python's standard library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common/*.py */case.py
