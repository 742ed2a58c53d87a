#!/bin/sh
# Runs clang-format and clang-tidy on every source file, and checks that only
# src/base/json_text.c calls the functions of jansson that return NULL for a text
# that is no UTF-8.  Ends with "N passed, N failed", counted in files.
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
grep -lE '\bjson_(v?pack(_ex)?|dump[a-z]*|(v?sprintf|stringn?)) ?\(' \
  $(git ls-files 'src/*.c' 'platform/*.c') |
  grep -v '^src/base/json_text\.c$' | sed 's/$/ builds JSON without base\/json_text/' |
  tee -a "$bad/out" | sed 's/ .*//' >> "$bad/list"
[ -e "$bad/list" ] || : > "$bad/list"
failed=$(sort -u "$bad/list" | wc -l)
total=$(echo "$files" | wc -l)
sort -u "$bad/list"
rm -rf "$bad"
echo "lint: $((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
