/* The suites of unit tests, and helpers that several of them use.  A random
   test prints its seed when it fails; set SEED in the environment to run it
   with that seed alone.  */
#ifndef UNIT_SUITES_H
#define UNIT_SUITES_H

#include <CUnit/CUnit.h>
#include <stdint.h>

enum
{
  RANDOM_SEEDS = 200 /* how many seeds a random test runs */
};

void suite_base (void);
void suite_coord (void);
void suite_register (void);
void suite_replica (void);
void suite_log (void);
void suite_log_sync (void);
void suite_control (void);
void suite_store (void);
void suite_disks (void);
void suite_net (void);
void suite_dispatch (void);
void suite_job_events (void);
void suite_lease (void);
void suite_job_lease (void);
void suite_plan (void);
void suite_quorum (void);
void suite_relay (void);
void suite_http (void);
void suite_callers (void);
void suite_withdrawal (void);
void suite_absence (void);
void suite_deployment (void);
void suite_keepers (void);
void suite_delegation (void);
void suite_load (void);
void suite_stall (void);
void suite_placement (void);
void suite_scheduler (void);
void suite_speed (void);
void suite_vm_load (void);
void suite_overload (void);
void suite_platform (void);
void suite_worker_client (void);
void suite_framing (void);
void suite_client_budget (void);
void suite_intake (void);
void suite_evacuation (void);

/* A pseudo-random number generator: the same seed gives the same numbers.  */
struct prng
{
  uint64_t state;
};

void prng_init (struct prng *s, uint64_t seed);

/* Returns a random number from 0 to LIMIT - 1.  */
uint32_t prng_next (struct prng *s, uint32_t limit);

/* The first and the last seed of random tests: 1 and RANDOM_SEEDS, or both
   SEED if that is set.  */
uint64_t first_seed (void);
uint64_t last_seed (void);

/* Creates a temporary folder and stores its path in FOLDER, of at least 64
   bytes.  Aborts on an error, as test_folder_remove does.  */
void test_folder_make (char *folder);

/* Removes FOLDER and its content.  */
void test_folder_remove (const char *folder);

#endif
