#!/bin/sh
# Random faults under load: generates a scenario of about MINUTES from SEED and
# runs it; its file is kept if it fails.  Usage: soak.sh BUILD SEED MINUTES
set -u
build=$1
seed=$2
minutes=$3
script=$(mktemp /tmp/ragwort-soak-XXXXXX)
awk -v seed="$seed" -v minutes="$minutes" '
function pick(n) { return int(rand() * n) }
function entry() { return entries[pick(6)] }
function up() { for (i = 0; i < 20; i++) { e = entry(); if (!(e in down)) return e } return "" }
BEGIN {
  srand(seed)
  split("workshop-1 workshop-2 oven-1 oven-2 shop-1 shop-2", list, " ")
  for (i in list) entries[i - 1] = list[i]
  split("workshop oven shop", domain_list, " ")
  print "cluster workshop,oven,shop entries=2 keepers=3"
  print "start all"
  for (d = 1; d <= 3; d++)
    print "targets t" d " domain=" domain_list[d] " count=3 run_ms=40"
  print "accept at shop-1 request=c0"
  print "ready slots=72"
  number = 1; made = 0; spent = 0; faults = 0; cuts = 0
  while (spent < minutes * 60000) {
    e = up()
    if (e != "") {
      print "flood s" made++ " at " e " count=" 1 + pick(6) " tasks=" 1 + pick(12) \
        " run_ms=" 20 + pick(200) " home=" domain_list[1 + pick(3)] " deadline_ms=8000"
      if (made > 2) print "resubmit s" pick(made - 1) "0 at " e
    }
    r = pick(12)
    if (r == 0 && faults < 2) { e = up(); if (e != "") { print "kill " e; down[e] = 1; faults++ } }
    if (r == 1 && faults < 2) { e = up(); if (e != "") { print "freeze " e; down[e] = 2; faults++ } }
    if (r == 2 && faults < 2) { e = up(); if (e != "") { print "stop " e; print "start " e } }
    if (r == 3 && cuts == 0) { print "cut " domain_list[1 + pick(3)] " all"; cuts = 1 }
    if (r == 4 && cuts == 0) { a = entry(); b = entry(); if (a != b) { print "cut " a " > " b; cuts = 1 } }
    if (r == 5 && cuts) { print "heal"; cuts = 0 }
    if (r == 6) { k = "keeper-" domain_list[1 + pick(3)] "1"; print "kill " k; print "pause 200..1500"; print "start " k; spent += 900 }
    if (r >= 7 && r <= 9)
      for (e in down) { print (down[e] == 1 ? "start " : "thaw ") e; delete down[e]; faults--; break }
    print "pause 50..900"
    spent += 500
  }
  print "heal"
  for (e in down) print (down[e] == 1 ? "start " : "thaw ") e
  print "answers within=60000"
  print "await group 2 at all within=20000"
  print "flood last at all count=12 tasks=4"
  print "answers"
  print "count last complete 12"
}' > "$script"
"$build/scenario" --seed="$seed" --net=90 "$script"
status=$?
[ $status -eq 0 ] && rm -f "$script"
exit $status
