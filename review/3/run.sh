#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
"$root/review/.build/release/review-standins" memory "$here" "$root"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
