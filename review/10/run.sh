#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 nothing is disrupted.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/jaywind ] && [ -x target/second ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/second lead "$here/record.txt"
