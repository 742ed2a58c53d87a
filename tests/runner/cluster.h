/* The processes of a scenario: VMs with their settings, and fake targets.  */
#ifndef RUNNER_CLUSTER_H
#define RUNNER_CLUSTER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  CLUSTER_VM_LIMIT = 32,
  CLUSTER_TARGET_LIMIT = 64,
  CLUSTER_NAME_BYTES = 40,
  CLUSTER_PATH_BYTES = 300,
  PEER_PORT = 7100,
  HTTP_PORT = 8100,
  RELAY_PORT = 7200
};

#define OPERATOR_TOKEN "operator-token"
#define TARGET_TOKEN "target-token"

struct cluster_vm
{
  char name[CLUSTER_NAME_BYTES];
  char domain[CLUSTER_NAME_BYTES];
  char address[32];
  bool keeper;
  bool frozen;
  bool stopping;         /* was sent SIGTERM; an exit is expected */
  pid_t pid;             /* 0: not running */
  int64_t config_number; /* the highest that it has reported */
};

struct cluster_target
{
  char name[CLUSTER_NAME_BYTES];
  pid_t pid;
};

struct cluster
{
  struct event_base *base;
  char programs[CLUSTER_PATH_BYTES]; /* folder of the built programs */
  char folder[CLUSTER_PATH_BYTES];   /* folder of this run */
  struct cluster_vm vms[CLUSTER_VM_LIMIT];
  uint32_t vm_count;
  struct cluster_target targets[CLUSTER_TARGET_LIMIT];
  uint32_t target_count;
  char domains[CLUSTER_VM_LIMIT][CLUSTER_NAME_BYTES];
  uint32_t domain_count;
  uint32_t next_target_port;
  bool relayed;

  /* settings of every VM */
  int heartbeat_ms;
  int lease_ms;
  int register_window_ms;
  int sync_delay_ms;
  const char *log_level;
  int net; /* selects the loopback networks; concurrent runs
              need different ones */
};

/* PROGRAMS is the folder of the built programs, FOLDER that of this run.
   cluster_build adds ENTRIES entries in each of the DOMAINS, a comma-separated
   list, and KEEPERS keepers in all, spread over the domains.  */
void cluster_init (struct cluster *c, struct event_base *base,
                   const char *programs, const char *folder);
void cluster_build (struct cluster *c, const char *domains, int entries,
                    int keepers);

/* Kills all processes that still run.  */
void cluster_done (struct cluster *c);

struct cluster_vm *cluster_vm (struct cluster *c, const char *name);

/* Writes the address of the relay for connections from VM FROM to VM TO.  */
void cluster_relay_address (const struct cluster *c, uint32_t from,
                            uint32_t to, char *text, size_t size);

/* Writes IP:PORT of the VM's HTTP API.  */
void cluster_http_address (const struct cluster_vm *vm, char *text,
                           size_t size);

/* Starts PROGRAM with ARGV, appending its output to file LOG.  The kernel
   kills it if this process dies.  */
pid_t cluster_spawn (const struct cluster *c, const char *program,
                     char *const *argv, const char *log);

void cluster_start (struct cluster *c, struct cluster_vm *vm);

/* Sends SIGNAL; for SIGKILL, waits until VM has ended.  */
void cluster_signal (struct cluster *c, struct cluster_vm *vm, int signal);

/* Deletes the journal of a keeper that does not run.  */
void cluster_wipe (struct cluster *c, const struct cluster_vm *vm);

/* Starts a fake_target process NAME in DOMAIN, with further ARGUMENTS, ended
   by NULL; with --count=N it simulates N targets.  */
void cluster_start_target (struct cluster *c, const char *name,
                           const char *domain, char *const *arguments);
struct cluster_target *cluster_target (struct cluster *c, const char *name);

/* Whether PID has ended.  If so, stores its exit status and sets PID to 0.  */
bool cluster_reap (pid_t *pid, int *status);

#endif
