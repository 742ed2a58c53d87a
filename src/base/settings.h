/* The settings of one process: its identity, its addresses, and all VMs of the
   system.  Read from a JSON file and checked completely.  */
#ifndef BASE_SETTINGS_H
#define BASE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include "base/error.h"

enum
{
  NAME_BYTES = 40,
  ADDRESS_BYTES = 48,
  PATH_SETTING_BYTES = 256,
  SECRET_BYTES = 128,
  SHA256_HEX_BYTES = 65,
  VM_LIMIT = 64,
  DOMAIN_LIMIT = 12
};

enum settings_error
{
  SETTINGS_OK,
  SETTINGS_UNREADABLE,
  SETTINGS_INVALID
};

enum process_role
{
  ROLE_ENTRY,
  ROLE_KEEPER
};

/* A VM listed in the settings.  */
struct vm_settings
{
  char name[NAME_BYTES];
  char domain[NAME_BYTES];
  char region[NAME_BYTES];
  char address[ADDRESS_BYTES];
  uint16_t peer_port;
  uint16_t http_port;
  enum process_role role;
};

struct settings
{
  /* identity */
  char vm[NAME_BYTES];
  char domain[NAME_BYTES];
  char environment[NAME_BYTES];
  enum process_role role;

  /* addresses */
  char address[ADDRESS_BYTES];
  uint16_t http_port;
  uint16_t peer_port;
  uint16_t peer_listen_port; /* if behind a port forwarder; 0: peer_port */

  /* secrets */
  char peer_secret[SECRET_BYTES];
  char operator_token_sha256[SHA256_HEX_BYTES];
  char target_token_sha256[SHA256_HEX_BYTES];

  /* state */
  char data_folder[PATH_SETTING_BYTES];
  int64_t sync_delay_ms; /* added to each sync to simulate a slow disk */
  char log_level[8];

  /* timing */
  int64_t heartbeat_ms;       /* interval of an entry's heartbeats */
  int64_t lease_ms;           /* a VM silent for longer counts as lost */
  int64_t register_window_ms; /* age up to which submission keys are valid */
  int64_t record_timeout_ms;  /* of a call that replicates a record */
  int64_t stop_timeout_ms;    /* longest graceful stop */

  /* limits */
  uint32_t body_bytes;
  uint32_t connections;
  uint32_t backlog; /* connections not yet accepted; 0: the default */
  int64_t idle_timeout_ms;

  /* limits of clients; 0: the defaults of net/http_intake */
  uint32_t head_bytes;
  int64_t head_timeout_ms;
  int64_t body_timeout_ms;
  int64_t answer_timeout_ms;
  uint64_t client_bytes; /* for all that is sent and not yet answered */

  /* Whether VMs that are not listed in VMS may connect.  */
  bool open_membership;

  /* all VMs, including this one */
  struct vm_settings vms[VM_LIMIT];
  uint32_t vm_count;
  char domains[DOMAIN_LIMIT][NAME_BYTES];
  uint32_t domain_count;
};

/* Reads the file PATH into S.  On SETTINGS_INVALID, the message of E lists
   every fault.  */
enum settings_error settings_load (struct settings *s, const char *path,
                                   struct error *e);

/* Returns the index of the failure domain NAME, or -1 if there is none.  */
int settings_domain_index (const struct settings *s, const char *name);

/* Returns the VM called NAME, or NULL if there is none.  */
const struct vm_settings *settings_vm (const struct settings *s,
                                       const char *name);

#endif
