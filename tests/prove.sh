#!/bin/sh
# Mutation test of the tests: each row disables one mechanism in a copy of the
# sources, and the test that covers it must then fail.  Prints "N passed,
# N failed" at the end; a row passes if its test fails.
# Usage: prove.sh BUILD [ROW-PATTERN]
set -u
build=$1
only=${2:-.}
copy=$(mktemp -d)
passed=0
failed=0
reset_copy () {
  rm -rf "$copy"
  mkdir -p "$copy"
  cp -a Makefile src tests bench docs examples "$build" "$copy"
}
# row NAME FILE SED-EXPRESSION TEST [SEEDS]: TEST is "unit" or a scenario, run
# with each of SEEDS until it fails.
row () {
  name=$1 file=$2 expression=$3 test=$4 seeds=${5:-1}
  echo "$name" | grep -q "$only" || return 0
  cp -a "$file" "$copy/before"
  sed -i "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "FAIL $name: the expression changes nothing"
    failed=$((failed + 1))
    return
  fi
  if ! make -s -C "$copy" -j"$(nproc)" BUILD="$(basename "$build")" \
       CFLAGS="-O1 -w -std=c11" > "$copy/out" 2>&1; then
    echo "FAIL $name: does not build"
    cat "$copy/out"
    failed=$((failed + 1))
    cp "$copy/before" "$copy/$file"
    return
  fi
  seen=
  for seed in $seeds; do
    if [ "$test" = unit ]; then
      (cd "$copy" && "./$(basename "$build")/unit") > "$copy/out" 2>&1 || seen=$seed
    else
      (cd "$copy" && "./$(basename "$build")/scenario" --net=95 --seed="$seed" "$test") \
        > "$copy/out" 2>&1 || seen=$seed
    fi
    [ -z "$seen" ] || break
  done
  if [ -n "$seen" ]; then
    echo "ok   $name: $test fails without it (seed $seen): $(grep -m1 'VIOLATION\|\.scn:\|seed\|CU_' "$copy/out" | cut -c1-110)"
    passed=$((passed + 1))
  else
    echo "FAIL $name: $test passes without it"
    failed=$((failed + 1))
  fi
  cp "$copy/before" "$copy/$file"
  touch "$copy/$file"
}
reset_copy
s=tests/scenarios
row "record at the backup before the first start" src/controller/job_controller.c \
  's/^  replica_put (n, s, until < .*/  on_prepared (n, s, REPLICA_ACKED); return; (void) until;/; /^               on_prepared);/d' $s/takeover.scn "1 2 3"
row "an older incarnation is refused" src/coord/submission_register.c \
  's/return RECORD_STALE;/return RECORD_OK;/' unit
row "a lost memory makes old keys unknown" src/coord/submission_register.c \
  's/k->incarnation < g->complete_since)/0)/' $s/domain_restart.scn "1 2 3"
row "below the watermark is unknown" src/coord/submission.c \
  's/? outcome_unknown ()/? outcome_not_run (PROOF_ABOVE_WATERMARK)/' $s/takeover.scn "1 2 3"
row "no start above the watermark" src/controller/dispatch_controller.c \
  's/return s->returned_count != 0 || s->next_task < s->start_watermark;/return true;/' $s/freeze_owner.scn "1 2 3 4"
row "not run only where the register was asked" src/filter/request.c \
  's/"not_run" : "unknown"/"not_run" : "not_run"/' $s/cut_domain.scn "1 2"
row "other content is a conflict" src/coord/submission_register.c \
  's/return SUBMIT_CONFLICT;/return SUBMIT_KNOWN;/' $s/conflict.scn
row "one vote a term" src/coord/replicated_log.c \
  's/l->voted_for == LOG_NO_MEMBER || l->voted_for == from/true/' unit
row "commit by majority" src/coord/replicated_log.c \
  's/index = match\[majority (l) - 1\]/index = match[0]/' unit
row "log matching" src/coord/replicated_log.c \
  's/!= a->previous_term))/!= a->previous_term \&\& false))/' unit
row "a leader cut off steps down" src/coord/replicated_log.c \
  's/return n >= majority (l);/return true;/' unit
row "equal numbers: one wins" src/coord/control_state.c \
  's/(uint64_t)expect != c->view.config_number/false/' $s/operators_race.scn
row "a resent command gets the same answer" src/coord/control_state.c \
  's/  earlier = find_request (c, request_id);/  earlier = NULL;/' $s/operators_race.scn
row "a wiped keeper does not start" src/store/journal.c \
  's/"journal";/"journal";\n#define ENOENT_IS_FINE 1/; s/O_RDWR | O_CLOEXEC);/O_RDWR | O_CREAT | O_CLOEXEC, 0600);/; s/length < MAGIC_BYTES ||/length != 0 \&\&/' $s/wiped_keeper.scn
row "damage is not a torn tail" src/store/journal.c \
  's/if (at < length \&\& has_record_behind/if (0 \&\& has_record_behind/' unit
row "a stop waits for calls in flight" src/controller/drain_controller.c \
  's/  return n->open == NULL \&\& remote_is_idle (n)/  return true || n->open == NULL/' $s/graceful.scn "1 2"
row "a leaving target gets no new work" src/coord/target_table.c \
  's/return !target->leaving \&\& /return /' $s/target_leaves.scn "1 2"
row "a non-idempotent request is not retried" src/controller/dispatch_controller.c \
  's/s->single \&\& s->idempotent \&\& outcome.kind/s->single \&\& outcome.kind/' $s/at_most_once.scn "1 2"
row "a failed job gives no results" src/coord/submission.c \
  's/complete = complete \&\& s->tasks\[i\].outcome.kind == OUTCOME_DONE;/complete = true;/' $s/partial_failure.scn
row "failing targets are ejected" src/coord/target_table.c \
  's/^  target->ejected = true;/  target->ejected = false;/' $s/failing_target.scn
row "a survivor's word drops a member" src/coord/group_manager.c \
  's/last_seen_at (m, other) > last_seen_at (m, member) + m->lease_ms/false/' $s/takeover.scn
row "a domain that falls silent together is left" src/coord/group_manager.c \
  's/member_heartbeat (m, other) != NULL/true/; s/last_seen_at (m, other) > last_seen_at (m, member) + m->lease_ms/m->leader_since_ms + 9 * m->lease_ms < m->leader_since_ms + 10 * m->lease_ms/' unit
row "an answer is given once the backup has it" src/controller/job_controller.c \
  's/^  if (s->unregistered)\n    on_ended/XX/; s/    replica_end (n, s, until > s->deadline_ms ? until : s->deadline_ms,/    on_ended (n, s, REPLICA_ACKED); if (0) replica_end (n, s, until > s->deadline_ms ? until : s->deadline_ms,/' $s/second_loss.scn
row "a key as old as forgotten records is unknown" src/coord/submission_register.c \
  's/|| k->issued_wall_ms <= r->evicted_wall_ms)/|| false)/' $s/record_bound.scn
row "a joining VM learns up to when records are forgotten" src/controller/replica_controller.c \
  's/if (m->evicted_wall_ms > n->submissions.evicted_wall_ms)/if (0)/' $s/record_bound.scn "1 2"
row "the cut-off quota" src/controller/config_controller.c \
  's/return n->quorum_lost ? n->environment/return 0 ? n->environment/' $s/cut_off_quota.scn
row "the configuration from a peer" src/controller/config_controller.c \
  's/    if (n->quorum_lost$/    if (0/' $s/cut_off_restart.scn
[ -n "${KEEP:-}" ] && echo "$copy" || rm -rf "$copy"
echo "proofs: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
