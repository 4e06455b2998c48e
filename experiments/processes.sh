#!/usr/bin/env bash
# Prints what one idle daemon takes as a process of its own, at several sizes
# of the site: CPU and resident memory from /proc, averaged over the daemons.
# Run `make build` first. Usage: experiments/processes.sh [SIZE…] [-- SITE OPTION…]
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
settle=4
window=6

stop() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait "${pids[@]}" 2>/dev/null || true
	pids=()
}
trap 'stop; rm -rf "$work"' EXIT

sizes=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do sizes+=("$1"); shift; done
[ "${1:-}" = -- ] && shift
[ ${#sizes[@]} -gt 0 ] || sizes=(3 14 40 80)

# ticks PID…: user and system time of the processes, in clock ticks.
ticks() {
	local sum=0 pid
	for pid in "$@"; do
		read -r -a fields < <(sed 's/.*) //' "/proc/$pid/stat")
		sum=$((sum + fields[11] + fields[12]))
	done
	echo "$sum"
}

for n in "${sizes[@]}"; do
	rm -f "$work"/*
	bin/beechhead-standin site --directory "$work" --daemons "$n" "$@" >"$work/site.log" 2>&1 &
	pids=($!)
	until [ -s "$work/site.json" ]; do sleep 0.1; done
	daemons=()
	for ((i = 0; i < n; i++)); do
		BEECHHEAD_OPERATOR_KEY=operator-key bin/beechhead serve --settings "$work/host-$i.json" 2>"$work/host-$i.log" &
		daemons+=($!)
		pids+=($!)
	done
	sleep $settle
	before=$(ticks "${daemons[@]}")
	sleep $window
	after=$(ticks "${daemons[@]}")
	memory=$(for pid in "${daemons[@]}"; do sed -n 's/VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$pid/status"; done | awk '{s += $1} END {printf "%.1f", s / NR / 1000}')
	awk -v n="$n" -v t=$((after - before)) -v w=$window -v m="$memory" \
		'BEGIN {printf "%d daemons: %.2f%% of a core and %s MB a daemon\n", n, t / w / n, m}'
	stop
done
