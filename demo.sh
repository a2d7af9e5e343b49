#!/usr/bin/env bash
# Starts a fleet on this host, generates a mixed load, stops one entry and one sidecar during
# the load, and prints the results that callers see. Exits with 0 only if every request ended
# with a complete response, a refusal or an explicit error.
set -euo pipefail
cd "$(dirname "$0")"

work=$(mktemp -d)
pids=()

# Terminates all processes by their ids and waits for them. Keeps the logs on failure.
finish() {
	local code=$?
	trap - EXIT
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	if [ "$code" -eq 0 ]; then
		rm -rf "$work"
	else
		printf 'demo failed with exit code %d; the logs are in %s\n' "$code" "$work"
	fi
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

step() { printf '\n== %s\n' "$1"; }

# start NAME PROGRAM ARGS...: starts a process in the background and sets last to its id.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	last=$!
	pids+=("$last")
}

step "build into bin/"
mkdir -p bin
for program in entry sidecar standin bench; do
	go build -o "bin/ragwort-$program" "./cmd/$program"
done
go build -o bin/ragwortctl ./cmd/ragwortctl

mapfile -t ports < <(bin/ragwort-bench ports 15)
platform=${ports[0]}
entries=("${ports[1]}" "${ports[2]}")
sidecars=("${ports[@]:3:6}")
upstreams=("${ports[@]:9:6}")
centres=(th-a th-b)

step "start the platform, five engines and the order desk"
start platform bin/ragwort-standin --listen="$platform" platform
for i in 0 1 2 3 4; do
	start "engine-$i" bin/ragwort-standin --listen="${upstreams[i]}" engine --models=temper-70b --gap=25ms --fencing
done
start order-desk bin/ragwort-standin --listen="${upstreams[5]}" service
bin/ragwort-bench wait "$platform" "${upstreams[@]}"

step "publish examples/hingeworks.rules and give each workspace a key"
export RAGWORT_PLATFORM="http://$platform" RAGWORT_OPERATOR=demo
bin/ragwortctl rules publish examples/hingeworks.rules
for workspace in $(sed -n 's/^workspace name=\([^ ]*\).*/\1/p' examples/hingeworks.rules); do
	printf '%s %s\n' "$workspace" "$(bin/ragwortctl key give "$workspace" --comment=demo)" >>"$work/keys"
done

step "start six sidecars and two entries in two data centres"
for i in 0 1 2 3 4 5; do
	serves=--models=temper-70b
	[ "$i" -eq 5 ] && serves=--service=order-desk
	start "sidecar-$i" bin/ragwort-sidecar --node="sidecar-$i" --data-centre="${centres[i % 2]}" \
		--listen="${sidecars[i]}" --upstream="upstream-$i" --upstream-url="http://${upstreams[i]}" "$serves"
	[ "$i" -eq 1 ] && leaving_sidecar=$last
done
seeds=$(IFS=,; echo "${sidecars[*]},${entries[*]}")
for i in 0 1; do
	start "entry-$i" bin/ragwort-entry --node="entry-$i" --data-centre="${centres[i]}" \
		--listen="${entries[i]}" --seeds="$seeds" \
		--lease-ttl=4s --usage-window=4s --usage-grace=3s --usage-flush=1s
	[ "$i" -eq 1 ] && leaving_entry=$last
done
bin/ragwort-bench wait "${sidecars[@]}" "${entries[@]}"

step "generate load; stop one sidecar and one entry meanwhile"
bin/ragwort-bench load --deployment=hingeworks --entries="$(IFS=,; echo "${entries[*]}")" \
	--keys-file="$work/keys" --duration=18s --warmup=5s --factor=0.45 \
	--engines="$(printf 'http://%s,' "${upstreams[@]:0:5}" | sed 's/,$//')" \
	--services="http://${upstreams[5]}" --platform="http://$platform" &
load=$!
pids+=("$load")
sleep 12
printf 'SIGTERM to sidecar-1 (process %d)\n' "$leaving_sidecar"
kill -TERM "$leaving_sidecar"
sleep 3
printf 'SIGTERM to entry-1 (process %d)\n' "$leaving_entry"
kill -TERM "$leaving_entry"
wait "$load"
wait "$leaving_sidecar" && wait "$leaving_entry" || { printf 'a terminated process exited with an error\n'; exit 1; }

step "every request is accounted for"
