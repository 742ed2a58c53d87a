#!/bin/sh
# Checks every example file with the programs' own checks, and that invalid
# files, options and environments are refused with a specific error.
# Usage: check_examples.sh BUILD
set -u
build=$1
passed=0
failed=0
expect () { # WHAT STATUS PATTERN COMMAND...
  what=$1 status=$2 pattern=$3
  shift 3
  out=$("$@" 2>&1)
  got=$?
  if [ "$got" -eq "$status" ] && echo "$out" | grep -q "$pattern"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "$what: exit $got, not $status: $out"
  fi
}
dir=$(mktemp -d)
for f in examples/*/entry.json examples/*/keeper.json; do
  expect "$f" 0 '' "$build/ragwortd" --check "$f"
  # The file must be valid for every VM that it lists, under that VM's name.
  for vm in $(sed -n 's/.*"vm": "\([^"]*\)".*/\1/p' "$f" | sort -u); do
    sed "0,/\"vm\": \"[^\"]*\"/s//\"vm\": \"$vm\"/" "$f" > "$dir/$vm.json"
    grep -q data_folder "$dir/$vm.json" ||
      sed -i 's|"log_level"|"data_folder": "/tmp", "log_level"|' "$dir/$vm.json"
    expect "$f as $vm" 0 '' "$build/ragwortd" --check "$dir/$vm.json"
  done
done
for f in examples/*/document.json; do
  expect "$f" 0 valid "$build/ragwortctl" config check "$f" --environment=production
  expect "$f elsewhere" 1 'does not list moon' \
    "$build/ragwortctl" config check "$f" --environment=moon
done
for f in examples/open/*.json; do
  expect "$f" 0 '' "$build/ragwort-node" --check "$f"
done
sed 's/"10.3.0.11:8161"/"nowhere"/' examples/open/node-entry.json > "$dir/open.json"
expect "a wrong address" 2 'callers: is not an IP number and a port' \
  "$build/ragwort-node" --check "$dir/open.json"
sed '/"data_folder"/d' examples/open/node-keeper.json > "$dir/open.json"
expect "a keeper without a disk" 2 'data_folder: is missing' \
  "$build/ragwort-node" --check "$dir/open.json"
sed 's/"lost_keepers": 1/"lost_keepers": "one", "new_field": 3/' \
  examples/open/node-keeper.json > "$dir/open.json"
expect "a mistyped field" 2 'lost_keepers' \
  "$build/ragwort-node" --check "$dir/open.json"
sed 's/"lost_keepers": 1/"lost_keepers": 1, "new_field": 3/' \
  examples/open/node-keeper.json > "$dir/open.json"
expect "an unknown field is ignored" 0 '' \
  "$build/ragwort-node" --check "$dir/open.json"
sed 's/"domains": {[^}]*}/"domains": ["winkel"]/' \
  examples/open/node-keeper.json > "$dir/open.json"
expect "domains that are no object" 2 'domains: is not an object' \
  "$build/ragwort-node" --check "$dir/open.json"
expect "no settings" 64 'RAGWORTLINE_BOOT' env -u RAGWORTLINE_BOOT \
  "$build/ragwort-node"
sed 's/"timeout_ms"/"timeout"/' examples/sofia/document.json > "$dir/wrong.json"
expect "an unknown field" 1 'kinds\[2\].timeout: unknown field' \
  "$build/ragwortctl" config check "$dir/wrong.json"
expect "a missing field" 1 'kinds\[0\].timeout_ms: is missing' \
  "$build/ragwortctl" config check "$dir/wrong.json"
expect "no such file" 2 'No such file' "$build/ragwortctl" config check "$dir/none"
expect "unknown command" 2 'unknown command' "$build/ragwortctl" dance
expect "no server" 3 'no answer' "$build/ragwortctl" status --server 127.9.9.9:9
sed "s|/var/lib/ragwort|$dir|" examples/sofia/keeper.json > "$dir/k.json"
expect "a keeper without its journal" 3 'has no journal' \
  "$build/ragwortd" "$dir/k.json"
expect "an entry with a journal" 2 'is not a keeper' \
  "$build/ragwortd" --init-store examples/sofia/entry.json
sed 's|"data_folder": "[^"]*"|"data_folder": "/dev/null/data"|; s|192\.0\.2\.|127.44.0.|' \
  examples/sofia/keeper.json > "$dir/unwritable.json"
expect "a data folder that cannot be" 3 'cannot open the data folder' \
  "$build/ragwortd" "$dir/unwritable.json"
expect "a journal in it" 3 'cannot make' \
  "$build/ragwortd" --init-store "$dir/unwritable.json"
sed 's|192\.0\.2\.|127.44.0.|' examples/sofia/entry.json > "$dir/first.json"
"$build/ragwortd" "$dir/first.json" > "$dir/first.log" 2>&1 &
first=$!
for i in 1 2 3 4 5 6 7 8 9 10; do
  grep -qs PROCESS_STARTED "$dir/first.log" && break
  sleep 0.2
done
expect "a port in use" 3 'cannot listen on 127.44.0.111 port 7100' \
  "$build/ragwortd" "$dir/first.json"
expect "a wrong token" 1 "operators' token" \
  "$build/ragwortctl" status --server 127.44.0.111:8100 --token wrong
expect "a right token" 0 'no_configuration\|config_number' \
  "$build/ragwortctl" status --server 127.44.0.111:8100 --token operator-token
kill -9 "$first"
wait "$first" 2> /dev/null
expect "no settings" 2 'No such file' "$build/ragwortd" "$dir/none"
rm -rf "$dir"
echo "examples: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
