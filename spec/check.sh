#!/usr/bin/env bash
# Checks the models of the core protocol. The good models must hold over their
# whole state space; every broken variant must be found by the checker.
# Prints a table and closes with the number of verdicts that were as expected.
set -uo pipefail
cd "$(dirname "$0")"

readonly parallel=4
readonly memory=2048 # megabytes for one search
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Prints one line: model, switches, expected verdict, verdict, states, seconds.
check() {
	local expected=$1 model=$2 dir=$3
	shift 3
	local switches=()
	for name in "$@"; do switches+=("-D$name"); done
	mkdir -p "$dir" && cp "$model.pml" "$dir/" && cd "$dir" || return
	local began=$EPOCHREALTIME verdict=broken states=-
	if spin -a ${switches[@]+"${switches[@]}"} "$model.pml" >build.log 2>&1 &&
		gcc -O1 -w -DSAFETY -DVECTORSZ=2048 -DMEMLIM=$memory -o pan pan.c >>build.log 2>&1; then
		./pan -E -m1000000 >pan.log 2>&1
		states=$(awk '/states, stored/ {print $1}' pan.log)
		if grep -q 'assertion violated' pan.log && grep -q 'errors: 1' pan.log; then
			verdict=found
		elif grep -q 'errors: 0' pan.log && ! grep -qE 'max search depth too small|out of memory|Search not completed' pan.log; then
			verdict=holds
		fi
	fi
	local took
	took=$(awk -v a="$began" -v b="$EPOCHREALTIME" 'BEGIN {printf "%.1f", b - a}')
	printf '%s|%s|%s|%s|%s|%s\n' "$model" "${*:-none}" "$expected" "$verdict" "${states:--}" "$took" >result
}
export -f check
export memory

n=0
while read -r expected model switches; do
	[ -z "$expected" ] || [ "${expected:0:1}" = "#" ] && continue
	n=$((n + 1))
	printf '%s %s %s %s\n' "$expected" "$model" "$scratch/$(printf '%03d' $n)" "$switches"
done <variants.txt | xargs -P "$parallel" -I{} bash -c 'check {}'

passed=0
failed=0
printf '%-11s %-22s %-8s %-8s %10s %8s\n' model switches expected verdict states seconds
for result in "$scratch"/*/result; do
	IFS='|' read -r model switches expected verdict states took <"$result"
	printf '%-11s %-22s %-8s %-8s %10s %8s\n' "$model" "$switches" "$expected" "$verdict" "$states" "$took"
	if [ "$expected" = "$verdict" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
wanted=$(grep -cvE '^(#|$)' variants.txt)
if [ $((passed + failed)) -ne "$wanted" ]; then failed=$((wanted - passed)); fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
