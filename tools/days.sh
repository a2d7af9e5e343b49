#!/usr/bin/env bash
# Checks that every kind and variant of disruption in tools/days.txt appears in a file of
# deploy/days; each file schedules the disruptions of one "day". Given a file with the kinds
# that the bench lists, one "kind:" per line, also checks that tools/days.txt contains all of
# them.
#
#     tools/days.sh [KINDS]
set -euo pipefail
cd "$(dirname "$0")/.."

missing=0
pairs=0
while read -r kind variants; do
	for variant in "" $variants; do
		pairs=$((pairs + 1))
		if ! grep -hE "kind = \"$kind\"" deploy/days/*.toml | grep -qE "how = \"([^\"]* )?$variant|^[^\"]*kind = \"$kind\"[^\"]*$variant\$" &&
			! { [ -z "$variant" ] && grep -qhE "kind = \"$kind\"" deploy/days/*.toml; }; then
			printf 'no file in deploy/days has kind %s %s\n' "$kind" "$variant"
			missing=$((missing + 1))
		fi
	done
done < <(grep -v '^#' tools/days.txt)
if [ $# -gt 0 ]; then
	while read -r kind; do
		if ! grep -qE "^$kind( |\$)" tools/days.txt; then
			printf 'kind missing in tools/days.txt: %s\n' "$kind"
			missing=$((missing + 1))
		fi
	done < <(grep -oE '^[a-z_]+:' "$1" | tr -d :)
fi
printf '%d kinds and variants, %d days, %d missing\n' "$pairs" "$(ls deploy/days/*.toml | wc -l)" "$missing"
[ "$missing" -eq 0 ]
