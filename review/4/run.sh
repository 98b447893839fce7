#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
review/stand-ins-2/target/release/standins occurrences "$folder" &
case=$!
# If the script is ended early, the processes that the case has started end with it.
trap 'kill -9 $(cat /proc/$case/task/$case/children) $case; exit 2' HUP INT TERM
wait $case
