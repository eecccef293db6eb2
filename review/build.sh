#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that use the standard library only, so this checks that
# the interpreter is there and compiles them. The node itself is built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
python3 -m py_compile standins/bed.py [0-9]/case.py
