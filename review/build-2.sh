#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They need nothing but Python's standard
# library, so this only checks that they compile. Run it after the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps/jujubehall ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
exec python3 -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
