#!/bin/sh
# Runs the throughput and latency benchmarks and prints one row per case.
# Throughput runs are interleaved with runs of the bare relay, PAIRS times (7 by
# default, 3 with QUICK=1), and reported relative to it.
# Usage: run.sh BUILD
set -u
build=$1
pairs=${PAIRS:-7}
[ -z "${QUICK:-}" ] || pairs=3
dir=$(mktemp -d)
echo "throughput of one entry core against the bare relay, $pairs interleaved pairs"
{
  sed '/^load/,$d' bench/throughput.scn
  for i in $(seq 1 "$pairs"); do
    echo "load bare-$i at relay path=/v1/tasks/start outstanding=64 seconds=1"
    echo "load single-$i at shop-1 path=/v1/requests outstanding=64 seconds=1"
    echo "load job1-$i at shop-1 tasks=1 outstanding=64 seconds=1"
    echo "load job20-$i at shop-1 tasks=20 outstanding=16 seconds=1"
    echo "load job200-$i at shop-1 tasks=200 outstanding=4 seconds=1"
  done
} > "$dir/throughput.scn"
"$build/scenario" --net=60 --log-level=warn "$dir/throughput.scn" > "$dir/throughput" ||
  { cat "$dir/throughput"; exit 1; }
sed -n 's/^row {"case":"\([a-z0-9]*\)-\([0-9]*\)".*"tasks_per_s":\([0-9]*\).*/\1 \2 \3/p' \
  "$dir/throughput" | awk '
  { v[$1, $2] = $3; if ($2 > n) n = $2 }
  function median(name,  i, j, t, a) {
    for (i = 1; i <= n; i++) a[i] = v[name, i] / v["bare", i]
    for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++) if (a[j] < a[i]) { t = a[i]; a[i] = a[j]; a[j] = t }
    low = a[1]; high = a[n]
    return a[int((n + 1) / 2)]
  }
  END {
    split("single job1 job20 job200", names, " ")
    for (k = 1; k <= 4; k++) {
      name = names[k]; sum = 0; bare = 0
      for (i = 1; i <= n; i++) { sum += v[name, i]; bare += v["bare", i] }
      m = median(name)
      printf "%-8s %8.0f tasks/s, bare relay %8.0f; ratio median %.2f, least %.2f, most %.2f\n", name, sum / n, bare / n, m, low, high
    }
  }'
echo "response time at half load and at 70%, over a target's own 50 ms"
"$build/scenario" --net=61 --log-level=warn bench/latency.scn > "$dir/latency" ||
  { cat "$dir/latency"; exit 1; }
sed -n 's/^row {"case":"\([a-z0-9-]*\)".*"complete":\([0-9]*\),"refused":\([0-9]*\),.*"p50_ms":\([0-9.]*\),"p99_ms":\([0-9.]*\),"p999_ms":\([0-9.]*\)}/\1 \2 \3 \4 \5 \6/p' \
  "$dir/latency" | awk '
  { if ($1 == "direct") base = $4
    printf "%-10s complete %6d refused %4d  p50 %7.2f ms (%+.2f to a direct start, %.3f of 50 ms)  p99 %7.2f (%.3f)  p99.9 %7.2f\n", $1, $2, $3, $4, $4 - base, $4 / 50, $5, $5 / 50, $6 }'
sed -n 's/^row {"case":"all".*"task_starts":\([0-9]*\).*"tasks_passed":\([0-9]*\).*"record_messages":\([0-9]*\).*/\1 \2 \3/p' \
  "$dir/latency" | awk '{ printf "at one entry of six: %d starts, %.3f passed on a start, %.3f record messages a start\n", $1, $2 / $1, $3 / $1 }'
grep '"case":"all"' "$dir/latency"
rm -rf "$dir"
