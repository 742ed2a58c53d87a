#!/bin/sh
# repeat.sh N [TIMES]: runs the script of case N TIMES (5) times with the
# disruption and once without, and prints the exit codes.
n=$1
times=${2:-5}
cd "$(dirname "$0")/.." || exit 2
for i in $(seq "$times"); do
  sh "review/$n/run.sh"
  echo "case $n run $i: exit $?"
done
cp "review/$n/record.txt" "review/$n/record.last"
TROUBLE=0 sh "review/$n/run.sh"
echo "case $n TROUBLE=0: exit $?"
mv "review/$n/record.last" "review/$n/record.txt"
