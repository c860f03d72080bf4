#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -e
cd "$(dirname "$0")/second"
go build -o ../../target/second .
