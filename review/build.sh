#!/bin/sh
# The stand-ins of the scripts are Python without libraries, so there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later"'
python3 -m py_compile lib/stand.py */case.py
rm -rf __pycache__ */__pycache__
