#!/bin/sh
# Builds the stand-ins of the second review; run after the build of the deploy
# file. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review/kit2 review/6 review/8
