#!/bin/bash
# Plays one script of the second review: play-2.sh PROGRAM ARGUMENT.... The program's path starts at target/. Ends all processes
# that it started, in any case.
PROJECT_ROOT=$(cd "$(dirname "$0")/.." && pwd)
export PROJECT_ROOT
cd "$PROJECT_ROOT" || exit 2
program="target/$1"
shift
[ -x "$program" ] || { echo "not built: run review/build-2.sh"; exit 2; }
for daemon in hallkeel-gateway hallkeel-controller; do
    [ -x "target/release/$daemon" ] || { echo "not built: the deploy file's build"; exit 2; }
done
TMPDIR=$(mktemp -d)
export TMPDIR
# With job control, the program and the daemons that it starts are a process group of their own.
set -m
"$program" "$@" &
pid=$!
set +m
end_all() {
    kill -KILL -- "-$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap 'end_all; exit 2' INT TERM HUP
for _ in $(seq 1160); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
    end_all
    exit 2
fi
wait "$pid"
code=$?
end_all
[ "$code" -le 1 ] || exit 2
exit "$code"
