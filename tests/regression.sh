#!/bin/sh
# Runs the users' benchmark on the given deployments.  Prints the score of each
# of its standard test runs ("days"), the change since the newest entry in
# journal/ and the rules that were broken.  Fails if the benchmark does not
# report "GATE passed" for a deployment.
# Usage: regression.sh BENCH SITE...  BENCH is the benchmark program, each SITE
# one of its site files; with PLAY=small it runs scaled-down deployments.
set -u
bench=$1
shift
here=$(cd "$(dirname "$0")/.." && pwd)
out=$(mktemp -d)
failed=0

# Prints "DAY SCORE" lines from the newest score of SITE in the journal.
last_score ()
{
  for f in $(ls -r "$here"/journal/*.json); do
    grep -q '"cmd":"score"' "$f" && grep -q "\"site\":\"$1\"" "$f" || continue
    tr '\\' '\n' < "$f" | sed -n 's/^n\([a-z]*-[0-9a-f]*\) .*/&/p' |
      awk '{sub (/^n/, "", $1); print $1, $4}' | grep -v '^fresh'
    return
  done
}

cd "$here" || exit 2
for site in "$@"; do
  name=$(basename "$site" .toml)
  last_score "$name" > "$out/before"
  "$bench" score "$site" ${JOBS:+--jobs "$JOBS"} \
    ${PLAY:+--"$PLAY"} --why "regression run of $name" > "$out/now" 2>&1
  grep -q '^GATE passed' "$out/now" || failed=$((failed + 1))
  awk -v name="$name" 'NR == FNR { before[$1] = $2; next }
    /^[a-z]+-[0-9a-f]+ / && $2 ~ /\// {
      change = $1 in before ? sprintf ("%+.3f", $4 - before[$1]) : "-"
      broken = index ($0, "BROKEN") ? substr ($0, index ($0, "BROKEN")) : ""
      printf "%-20s %-12s %s %s %s\n", name, $1, $4, change, broken
    }
    /^GATE/ { print name, $0 }' "$out/before" "$out/now"
done
rm -rf "$out"
echo "regression: $(($# - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
