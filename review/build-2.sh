#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They use the standard library only.
set -e
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
