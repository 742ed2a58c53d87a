#!/bin/sh
# Builds the stand-ins that the scripts start.  They are written in Python
# (standard library only), so there is nothing to compile: this checks that
# they can be loaded, and that the program under test is built.
cd "$(dirname "$0")/.." || exit 2
python3 -c '
import ast, glob, sys
for name in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(name).read(), name)
' || exit 1
[ -x target/ragwort-node ] || make -j8 BUILD=target target/ragwort-node
