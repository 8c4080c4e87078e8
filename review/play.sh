#!/bin/bash
# Plays one case: play.sh CASE FOLDER. Ends all processes that it started, also where it is stopped itself.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
standins=$root/target/review/release/standins
for program in "$standins" "$root/target/release/hallkeel-gateway" "$root/target/release/hallkeel-controller"; do
    if [ ! -x "$program" ]; then
        echo "${program##*/} is not built: run the deploy file's build and review/build.sh"
        exit 2
    fi
done
# A process group of its own, so that the daemons end with the stand-ins.
set -m
timeout --signal=KILL 110 "$standins" "$1" "$2/record.txt" "$root" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
