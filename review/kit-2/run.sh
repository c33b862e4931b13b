#!/bin/bash
# Runs the case of a number. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review/case-$1
[ -x "$case" ] && [ -x target/release/poplarmux-daemon ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 112 "$case" "$folder"
status=$?
for file in "$folder"/*.pid; do
    pid=$(cat "$file" 2>/dev/null) || continue
    grep -q poplarmux-daemon "/proc/$pid/cmdline" 2>/dev/null && kill -9 "$pid"
done
rm -rf "$folder"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
