#!/bin/sh
# Runs clang-format and clang-tidy on every source file.  Ends with
# "N passed, N failed", counted in files.
set -u
files=$(git ls-files '*.c' '*.h')
sources=$(git ls-files '*.c')
bad=$(mktemp -d)
for f in $files; do
  clang-format-14 --dry-run --Werror "$f" 2>"$bad/out" ||
    { cat "$bad/out"; echo "$f" >> "$bad/list"; }
done
echo "$sources" | xargs -P "$(nproc)" -n 2 sh -c \
  'for f in "$@"; do
     out=$(clang-tidy-14 -quiet "$f" 2>/dev/null) ||
       { echo "$out"; echo "$f" >> "$0/list"; }
   done' "$bad"
[ -e "$bad/list" ] || : > "$bad/list"
failed=$(sort -u "$bad/list" | wc -l)
total=$(echo "$files" | wc -l)
sort -u "$bad/list"
rm -rf "$bad"
echo "lint: $((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
