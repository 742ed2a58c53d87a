/* The configuration of one environment: teams, task kinds, limits and policy.
   It is checked completely before it is accepted, and a node accepts only
   configurations that list its own environment.  */
#ifndef COORD_ENVIRONMENT_H
#define COORD_ENVIRONMENT_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "base/json_check.h"
#include "base/settings.h"

enum
{
  KIND_LIMIT = 256,
  TEAM_LIMIT = 1000,
  CONFIG_BYTES_MAXIMUM = 1 << 20
};

struct task_kind
{
  char name[NAME_BYTES];
  int64_t run_ms;     /* declared run time; a hint */
  int64_t timeout_ms; /* a start that takes longer has an unknown outcome */
  int64_t cpus;
  int64_t memory_mb;
};

struct policy
{
  double response_weight;
  double waste_weight;
  double retry_ratio; /* retries allowed per first attempt */
  int64_t default_deadline_ms;
  int64_t maximum_deadline_ms;

  /* as in struct ejection_policy */
  uint32_t eject_failures;
  double eject_share;
  int64_t eject_ms;
};

struct environment
{
  uint64_t number; /* of the active configuration; 0 while there is none */
  char sha256[SHA256_HEX_BYTES];
  json_t *config;
  struct task_kind kinds[KIND_LIMIT];
  uint32_t kind_count;
  struct policy policy;

  /* limits of one entry */
  uint64_t queued_tasks;
  uint32_t records;
  uint64_t record_bytes; /* of ended records */

  double cut_off_quota_share; /* factor on quotas without a keepers' quorum */
};

void environment_init (struct environment *e);
void environment_done (struct environment *e);

/* Checks CONFIG and adds its faults to R.  CONFIG must list the environment
   NAME unless NAME is NULL.  */
void environment_check (const json_t *config, const char *name,
                        struct json_report *r);

/* Activates CONFIG, which was checked, as NUMBER and takes a reference to
   it.  */
void environment_set (struct environment *e, uint64_t number, json_t *config);

const struct task_kind *environment_kind (const struct environment *e,
                                          const char *name);

/* Stores the SHA-256, in hex, of CONFIG as compact JSON with sorted keys in
   SHA256, an array of SHA256_HEX_BYTES.  */
void environment_sha256 (const json_t *config, char *sha256);

/* Stores the SHA-256, in hex, of TEXT, such as a token, in SHA256, an array of
   SHA256_HEX_BYTES.  */
void sha256_text (const char *text, size_t length, char *sha256);

#endif
