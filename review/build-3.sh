#!/bin/sh
# Builds the stand-ins that the scripts 11 to 15 start: checks that each can be compiled and imported.
# They need nothing but the standard library. The project itself is built by deploy/system.toml.
set -eu
cd "$(dirname "$0")/common-3"
for module in http_server store minion cloud small_site; do
  python3 -B -c "import ast, sys; ast.parse(open('$module.py').read())"
  python3 -B -c "import $module"
done
