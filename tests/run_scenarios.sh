#!/bin/sh
# Runs every scenario with each of SEEDS, LANES at a time, each lane on its own
# loopback networks.  Prints "N passed, N failed" at the end; failures of
# scenarios listed in KNOWN-RED.txt are printed but not counted.
# Usage: run_scenarios.sh BUILD [SCENARIO...]
set -u
build=$1
shift
seeds=${SEEDS:-1}
lanes=${LANES:-4}
out=$(mktemp -d)
[ $# -gt 0 ] || set -- tests/scenarios/*.scn
for script in "$@"; do
  for seed in $seeds; do echo "$script $seed"; done
done > "$out/work"
for lane in $(seq 1 "$lanes"); do
  awk -v n="$lanes" -v l="$lane" 'NR % n == l % n' "$out/work" |
  while read -r script seed; do
    "$build/scenario" --net="$lane" --seed="$seed" "$script" |
      grep -v ' passed, '
  done > "$out/lane-$lane" 2>&1 &
done
wait
cat "$out"/lane-*
passed=$(cat "$out"/lane-* | grep -c '^ok  ')
failed=0
for script in $(cat "$out"/lane-* | sed -n 's/^FAIL \([^ ]*\) .*/\1/p'); do
  if [ -e KNOWN-RED.txt ] && grep -q "^test: $script" KNOWN-RED.txt; then
    echo "known red: $script"
  else
    failed=$((failed + 1))
  fi
done
expected=$(wc -l < "$out/work")
got=$(cat "$out"/lane-* | grep -c '^ok  \|^FAIL ')
[ "$got" -eq "$expected" ] || { echo "scenarios run: $got of $expected"; failed=$((failed + expected - got)); }
rm -rf "$out"
echo "scenarios: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
