#!/bin/sh
# Checks the stand-ins. They are written for the standard library of Python 3.11 and need no build;
# the programs of the project are built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standin/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
