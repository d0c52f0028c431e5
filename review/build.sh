#!/bin/sh
# The stand-ins are plain Python of the standard library (3.11 or newer); nothing is built.
exec python3 -c "import sys, tomllib; sys.exit(sys.version_info < (3, 11))"
