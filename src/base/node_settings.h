/* The settings of a process in an open deployment, whose settings name only a
   few keepers as seeds; it discovers the other VMs itself.  Read from a JSON
   file and checked completely.  Unknown fields are ignored, since the file may
   have been written by a newer platform.  */
#ifndef BASE_NODE_SETTINGS_H
#define BASE_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"
#include "base/settings.h"

enum
{
  SEED_LIMIT = 8,
  KNOWN_DOMAIN_LIMIT = 64
};

struct endpoint
{
  char address[ADDRESS_BYTES];
  uint16_t port; /* 0: not set */
};

/* What a port is for: the main ports share the descriptors and memory of
   clients, the others have a small part each.  */
enum node_port
{
  NODE_PORT_MAIN, /* of callers, or of targets and operators */
  NODE_PORT_SMALL /* readiness, metrics: requests without a body */
};

struct node_settings
{
  char name[NAME_BYTES];
  enum process_role role;

  /* Settings of the peer protocol and limits.  The VM name among peers is the
     own address.  */
  struct settings peer;

  /* where this process listens, if the port is set */
  struct endpoint callers;
  struct endpoint readiness;
  struct endpoint control;
  struct endpoint metrics;

  /* the failure domains of the deployment, if the file lists them */
  char domains[KNOWN_DOMAIN_LIMIT][NAME_BYTES];
  uint32_t domain_count;

  /* keepers and leases */
  struct endpoint seeds[SEED_LIMIT];
  uint32_t seed_count;
  bool first_start;        /* of the entire system, with empty disks */
  uint32_t lost_keepers;   /* simultaneous keeper failures to tolerate */
  int64_t catch_up_ms;     /* time for a new keeper to replace a failed one */
  int64_t lease_limit_ms;  /* longest lease of a run on a target */
  int64_t caller_retry_ms; /* from a lost connection or an unknown outcome
                              until the caller submits its job again */
  int64_t stop_grace_ms;   /* from SIGTERM until it is killed */
  double far_factor;       /* run time of a task remote from its data, over
                              that of a local one */
  uint32_t cpu_milli;      /* processor of this VM, in thousandths of a core of
                              speed 1: cpu_milli, or cpu_share times cores; 0:
                              unknown */

  uint32_t memory_mb; /* of this VM; 0: not known */
};

/* Reads the file PATH into S.  On SETTINGS_INVALID, the message of E lists
   every fault.  */
enum settings_error node_settings_load (struct node_settings *s,
                                        const char *path, struct error *e);

/* Sets OWN to the settings of a server on port A of S: its address and its
   limits of clients.  */
void node_settings_port (const struct node_settings *s,
                         const struct endpoint *a, enum node_port kind,
                         struct settings *own);

/* Whether DOMAIN is a failure domain of the deployment.  True for every name
   if S lists none.  */
bool node_settings_knows_domain (const struct node_settings *s,
                                 const char *domain);

/* Parses "ADDRESS:PORT" with an IPv4 address.  Returns false if TEXT does not
   have this form.  */
bool endpoint_parse (struct endpoint *a, const char *text);

#endif
