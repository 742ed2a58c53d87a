#!/bin/sh
# Measures the cost slopes that docs/CAPACITY.md is based on and compares them
# with the recorded ones (bench/capacity_slopes.txt): a slope of more than twice
# its recorded figure, plus 0.5, fails.  With "record", replaces the recorded
# ones.  Usage: capacity.sh BUILD [record]
set -u
build=$1
mode=${2:-check}
out=$(mktemp -d)
run () { # NAME: runs the scenario on standard input; writes its rows to NAME
  cat > "$out/$1.scn"
  "$build/scenario" --net=70 --log-level=warn "$out/$1.scn" > "$out/$1" 2>&1 ||
    { cat "$out/$1"; echo "capacity: $1 did not run"; exit 1; }
}
field () { # FILE CASE FIELD
  sed -n "s/^row {\"case\":\"$2\",.*\"$3\":\([0-9.]*\).*/\1/p" "$out/$1" | tail -1
}
calc () { awk "BEGIN { printf \"%.4g\", $1 }"; }
slopes=$out/slopes
slope () { echo "$1 $2" >> "$slopes"; }

# Idle: the cost of heartbeats at an entry and at the keepers.
for n in 2 4; do
  run "rest-$n" <<S
cluster a,b,c entries=$n keepers=3 relay=no heartbeat_ms=500 lease_ms=2500
start all
accept at a-1
ready
pause 1500
measure skip at a-1
measure skip at keeper-a1
measure skip at keeper-b1
measure skip at keeper-c1
pause 6000
measure entry at a-1
measure k1 at keeper-a1
measure k2 at keeper-b1
measure k3 at keeper-c1
S
done
entry_bytes () { calc "($(field rest-$1 entry control_bytes_out)) * 1000 / $(field rest-$1 entry wall_ms)"; }
keeper_bytes () { calc "($(field rest-$1 k1 control_bytes_out) + $(field rest-$1 k2 control_bytes_out) + $(field rest-$1 k3 control_bytes_out)) * 1000 / $(field rest-$1 k1 wall_ms)"; }
slope entry_rest_bytes_per_s_at_6_entries "$(entry_bytes 2)"
slope entry_rest_bytes_per_s_per_entry "$(calc "($(entry_bytes 4) - $(entry_bytes 2)) / 6")"
slope keepers_rest_bytes_per_s_at_6_entries "$(keeper_bytes 2)"
slope keepers_rest_bytes_per_s_per_entry "$(calc "($(keeper_bytes 4) - $(keeper_bytes 2)) / 6")"
slope entry_rest_cpu_percent_at_12_entries "$(calc "$(field rest-4 entry cpu_ms) * 100 / $(field rest-4 entry wall_ms)")"
slope entry_rest_rss_kb "$(field rest-4 entry rss_kb)"
slope keeper_rest_rss_kb "$(field rest-4 k1 rss_kb)"

# Targets: CPU time of announcements and memory per target.
for n in 20 200; do
  run "targets-$n" <<S
cluster a entries=1 keepers=1 relay=no heartbeat_ms=500 lease_ms=2500
start all
targets t domain=a count=$n lease_ms=1500 record=/dev/null
accept at a-1
ready slots=$((n * 8))
measure skip at a-1
pause 5000
measure entry at a-1
S
done
announces () { field targets-$1 entry target_announces; }
slope announce_cpu_us "$(calc "($(field targets-200 entry cpu_ms) - $(field targets-20 entry cpu_ms)) * 1000 / ($(announces 200) - $(announces 20))")"
slope target_rss_kb "$(calc "($(field targets-200 entry rss_kb) - $(field targets-20 entry rss_kb)) / 180")"

# Jobs: CPU time per task start, memory of open jobs and of retained records.
run jobs <<S
cluster a entries=2 keepers=1 relay=no heartbeat_ms=500 lease_ms=2500
start all
targets t domain=a count=4 slots=200 run_ms=0 lease_ms=60000 record=/dev/null
accept at a-1 team_tasks_per_s=4000000
ready slots=800
load warm at a-1 tasks=20 outstanding=4 seconds=1
measure skip at a-1
measure skip at a-2
load jobs at a-1 tasks=20 outstanding=8 seconds=2
measure jobs-a at a-1
measure jobs-b at a-2
load big at a-1 tasks=200 outstanding=4 seconds=2
measure big-a at a-1
measure big-b at a-2
S
slope start_cpu_us_jobs_of_20 "$(calc "$(field jobs jobs-a cpu_ms) * 1000 / $(field jobs jobs-a task_starts)")"
slope start_cpu_us_jobs_of_200 "$(calc "$(field jobs big-a cpu_ms) * 1000 / $(field jobs big-a task_starts)")"
slope record_rss_kb_jobs_of_20 "$(calc "($(field jobs jobs-b rss_kb) - $(field jobs skip rss_kb)) / $(field jobs jobs-a jobs_accepted)")"
slope backup_cpu_us_a_job_of_200 "$(calc "$(field jobs big-b cpu_ms) * 1000 / $(field jobs big-a jobs_accepted)")"
slope record_messages_a_job_of_20 "$(calc "$(field jobs jobs-a record_messages) / $(field jobs jobs-a jobs_accepted)")"
slope record_messages_a_job_of_200 "$(calc "$(field jobs big-a record_messages) / $(field jobs big-a jobs_accepted)")"

run open <<S
cluster a entries=1 keepers=1 relay=no heartbeat_ms=500 lease_ms=2500
start all
targets t domain=a count=1 slots=800 lease_ms=60000 record=/dev/null
accept at a-1 team_tasks_per_s=4000000 queued_tasks=1000000
ready slots=800
measure skip at a-1
flood o at a-1 count=100 tasks=200 run_ms=9000 deadline_ms=60000 wait=no
pause 1500
measure open at a-1
S
[ "$(field open open jobs_accepted)" = 100 ] || { echo "capacity: open jobs were refused"; exit 1; }
slope open_job_of_200_rss_kb "$(calc "($(field open open rss_kb) - $(field open skip rss_kb)) / 100")"

# Configuration: the cost of a change at the keepers and at an entry.
run changes <<S
cluster a,b,c entries=2 keepers=3 relay=no heartbeat_ms=500 lease_ms=2500
start all
accept at a-1
ready
measure skip at a-1
measure skip at keeper-a1
measure skip at keeper-b1
measure skip at keeper-c1
changes at a-1 expect=1 count=300
measure entry at b-1
measure k1 at keeper-a1
measure k2 at keeper-b1
measure k3 at keeper-c1
S
slope change_keepers_cpu_ms "$(calc "($(field changes k1 cpu_ms) + $(field changes k2 cpu_ms) + $(field changes k3 cpu_ms)) / 300")"
slope change_keepers_bytes "$(calc "($(field changes k1 peer_bytes_out) + $(field changes k2 peer_bytes_out) + $(field changes k3 peer_bytes_out)) / 300")"
slope change_entry_cpu_ms "$(calc "$(field changes entry cpu_ms) / 300")"
slope change_keeper_syncs "$(calc "$(field changes k1 store_syncs) / 300")"
slope change_entry_bytes_in "$(calc "$(field changes entry peer_bytes_in) / 300")"

recorded=bench/capacity_slopes.txt
if [ "$mode" = record ]; then
  cp "$slopes" "$recorded"
  cat "$recorded"
  exit 0
fi
awk 'NR == FNR { was[$1] = $2; next }
  { bad = $2 > 2 * was[$1] + 0.5
    printf "%s %-42s %10s recorded %10s\n", bad ? "FAIL" : "ok  ", $1, $2, was[$1]
    failed += bad; passed += !bad }
  END { printf "capacity: %d passed, %d failed\n", passed, failed; exit failed != 0 }' \
  "$recorded" "$slopes"
status=$?
rm -rf "$out"
exit $status
