/* The settings of a process of an open deployment: one that is told a few
   keepers and finds the other VMs by itself.  Read from a JSON file and
   checked whole; an unknown field is ignored, since such a file may be
   rendered by a newer platform.  */
#ifndef BASE_NODE_SETTINGS_H
#define BASE_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/settings.h"

enum
{
  SEED_LIMIT = 8
};

struct listen_address
{
  char address[ADDRESS_BYTES];
  uint16_t port; /* 0: not served */
};

struct node_settings
{
  char name[NAME_BYTES];
  enum process_role role;

  /* Own address as the peers' name, failure domain, ports, limits.  */
  struct settings peer;

  struct listen_address callers;
  struct listen_address readiness;
  struct listen_address control;
  struct listen_address metrics;

  /* keepers */
  struct listen_address seeds[SEED_LIMIT];
  uint32_t seed_count;
  bool first_start;       /* of the whole system, with empty disks */
  uint32_t lost_keepers;  /* that must be survived at once */
  int64_t catch_up_ms;    /* a keeper's successor has to take its place in */
  int64_t lease_limit_ms; /* of a run on a target */
  int64_t stop_grace_ms;  /* from SIGTERM to the kill */
  double far_factor;      /* a task takes so many times as long off its data */
};

/* Reads PATH into S.  On SETTINGS_INVALID the message lists every fault.  */
enum settings_error node_settings_load (struct node_settings *s,
                                        const char *path, struct error *e);

/* Splits "ADDRESS:PORT".  Returns false if TEXT is not of this form.  */
bool listen_address_parse (struct listen_address *a, const char *text);

#endif
