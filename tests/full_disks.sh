#!/bin/sh
# Keepers whose disks are full in turn: full_disks.sh BUILD SECONDS SEED...
# The keepers' folders are in memory if possible: on one real disk, a slow sync
# would hold up all keepers at once.  Prints "disks: N passed, N failed" at the
# end, counting seeds.
set -u
build=$1
seconds=$2
shift 2
folder=/dev/shm
[ -w "$folder" ] || folder=/tmp
failed=0
for seed in "$@"; do
  if ! "$build/full_disks" --folder="$folder" --seed="$seed" \
      --seconds="$seconds" "$build/ragwort-node"; then
    failed=$((failed + 1))
  fi
done
echo "disks: $(($# - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
