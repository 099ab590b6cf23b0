#!/usr/bin/env bash
# The stand-ins of the cases need only the standard library: compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
