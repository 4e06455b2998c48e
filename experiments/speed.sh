#!/usr/bin/env bash
# Measures what the daemons themselves cost: three daemons, the stand-ins and
# the load are processes of their own on loopback. Run `make build` first.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait
	rm -rf "$work"
}
trap finish EXIT

# start_site ARGUMENT...: starts stand-ins and three daemons, and sets callers,
# engines and daemons.
start_site() {
	rm -f "$work"/*.json
	bin/beechhead-standin site --directory "$work" --daemons 3 "$@" >"$work/site.log" 2>&1 &
	pids=($!)
	until [ -s "$work/site.json" ]; do sleep 0.1; done
	daemons=()
	for i in 0 1 2; do
		BEECHHEAD_OPERATOR_KEY=operator-key bin/beechhead serve --settings "$work/host-$i.json" >"$work/host-$i.log" 2>&1 &
		pids+=($!)
		daemons+=($!)
	done
	mapfile -t callers < <(sed -n '/"callers"/,/]/s/.*"\([0-9.:]*\)".*/\1/p' "$work/site.json")
	mapfile -t engines < <(sed -n '/"engines"/,/]/s/.*"\(http[0-9a-z.:\/]*\)".*/\1/p' "$work/site.json")
	sleep 3
}

stop_site() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait "${pids[@]}" 2>/dev/null || true
	pids=()
}

all_callers() { printf -- '--address %s ' "${callers[@]}"; }
all_engines() { printf -- '--engine %s ' "${engines[@]}"; }

echo "open files allowed: $(ulimit -n)"
for measure in "${@:-latency tokens idle}"; do
	for one in $measure; do
		case $one in
		latency)
			start_site --engines 4 --concurrency 1000 --prompt-token 0s --token 0s
			# shellcheck disable=SC2046
			bin/beechhead-load speed latency $(all_callers) $(all_engines) --rate 1000 --duration 10s
			;;
		tokens)
			start_site --engines 8 --concurrency 1000 --prompt-token 0s --token 0s
			bin/beechhead-load speed tokens --address "${callers[0]}" --pid "${daemons[0]}" --streams 100 --duration 8s
			;;
		idle)
			start_site --engines 4 --concurrency 5000 --prompt-token 0s --token 60s
			bin/beechhead-load speed idle --address "${callers[0]}" --pid "${daemons[0]}" --streams 9500 --duration 3s
			;;
		esac
		stop_site
	done
done
