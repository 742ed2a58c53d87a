#!/bin/sh
# Soak test of ragwort-node under faults: node_soak.sh BUILD SECONDS SEED...
# Runs LANES seeds in parallel, each on its own loopback addresses, with the
# options of SOAK_OPTIONS, such as "--profile large".  Prints
# "soak: N passed, N failed" at the end, counting seeds.
set -u
build=$1
seconds=$2
shift 2
out=$(mktemp -d)
export SOAK_OPTIONS="${SOAK_OPTIONS:-}"
printf '%s\n' "$@" | xargs -P "${LANES:-1}" -n 1 sh -c \
  'if "$0/node_soak" --net "$(((($3 - 1) % 55) * 3 + 31))" --seed "$3" \
      --seconds "$1" $SOAK_OPTIONS "$0/ragwort-node" > "$2/$3" 2>&1; then
    tail -n 1 "$2/$3"
  else
    cat "$2/$3"
    : > "$2/failed-$3"
  fi' "$build" "$seconds" "$out"
failed=$(find "$out" -name 'failed-*' | wc -l)
rm -rf "$out"
echo "soak: $(($# - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
