/* The unit tests' suites.  Random tests print their seed when they fail; set
   SEED to run one again.  */
#ifndef UNIT_SUITES_H
#define UNIT_SUITES_H

#include <CUnit/CUnit.h>
#include <stdint.h>

enum
{
  RANDOM_SEEDS = 200
};

void suite_base (void);
void suite_coord (void);
void suite_register (void);
void suite_log (void);
void suite_control (void);
void suite_store (void);
void suite_net (void);
void suite_dispatch (void);
void suite_plan (void);
void suite_quorum (void);
void suite_relay (void);
void suite_http (void);
void suite_open (void);
void suite_keepers (void);
void suite_lending (void);
void suite_load (void);
void suite_silence (void);
void suite_placement (void);
void suite_scheduler (void);
void suite_platform (void);

/* A repeatable random sequence.  */
struct sequence
{
  uint64_t state;
};

void sequence_init (struct sequence *s, uint64_t seed);

/* A number below LIMIT.  */
uint32_t sequence_next (struct sequence *s, uint32_t limit);

/* The seeds that random tests run with: 1 to RANDOM_SEEDS, or SEED alone.  */
uint64_t first_seed (void);
uint64_t last_seed (void);

/* A folder of its own for a test, which it removes at the end.  */
void test_folder_make (char *folder);
void test_folder_remove (const char *folder);

#endif
