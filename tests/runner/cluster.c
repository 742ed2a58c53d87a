#include "tests/runner/cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <jansson.h>
#include "coord/environment.h"

enum
{
  TARGET_PORT = 9000,
  ARGUMENT_LIMIT = 64
};

void
cluster_init (struct cluster *c, struct event_base *base, const char *programs,
              const char *folder)
{
  memset (c, 0, sizeof *c);
  c->base = base;
  snprintf (c->programs, sizeof c->programs, "%s", programs);
  snprintf (c->folder, sizeof c->folder, "%s", folder);
  c->heartbeat_ms = 100;
  c->lease_ms = 800;
  c->register_window_ms = 900000;
  c->relayed = true;
  c->log_level = "info";
}

static void
add_vm (struct cluster *c, const char *domain, int domain_number, int number,
        bool keeper)
{
  struct cluster_vm *vm = &c->vms[c->vm_count++];

  snprintf (vm->name, sizeof vm->name, keeper ? "keeper-%s%d" : "%s-%d",
            domain, number);
  snprintf (vm->domain, sizeof vm->domain, "%s", domain);
  snprintf (vm->address, sizeof vm->address, "127.%d.%d.%d", 10 + 2 * c->net,
            domain_number + 1, (keeper ? 50 : 0) + number);
  vm->keeper = keeper;
}

void
cluster_build (struct cluster *c, const char *domains, int entries,
               int keepers)
{
  char copy[400];
  char *rest = NULL;

  snprintf (copy, sizeof copy, "%s", domains);
  for (char *word = strtok_r (copy, ",", &rest); word != NULL;
       word = strtok_r (NULL, ",", &rest))
    snprintf (c->domains[c->domain_count++], CLUSTER_NAME_BYTES, "%s", word);
  for (uint32_t d = 0; d < c->domain_count; d++)
    for (int i = 1; i <= entries; i++)
      add_vm (c, c->domains[d], (int)d, i, false);
  for (int i = 0; i < keepers && c->domain_count != 0; i++)
    {
      uint32_t d = (uint32_t)i % c->domain_count;

      add_vm (c, c->domains[d], (int)d, i / (int)c->domain_count + 1, true);
    }
}

struct cluster_vm *
cluster_vm (struct cluster *c, const char *name)
{
  for (uint32_t i = 0; i < c->vm_count; i++)
    if (strcmp (c->vms[i].name, name) == 0)
      return &c->vms[i];
  return NULL;
}

void
cluster_http_address (const struct cluster_vm *vm, char *text, size_t size)
{
  snprintf (text, size, "%s:%d", vm->address, HTTP_PORT);
}

void
cluster_relay_address (const struct cluster *c, uint32_t from, uint32_t to,
                       char *text, size_t size)
{
  snprintf (text, size, "127.%d.%u.%u", 11 + 2 * c->net, from + 1, to + 1);
}

/* Returns the settings of VM I in the configuration of VM FROM, with the
   relay's address as its peer address if connections are relayed.  */
static json_t *
vm_json (const struct cluster *c, uint32_t from, uint32_t i)
{
  const struct cluster_vm *vm = &c->vms[i];
  bool relayed = c->relayed && from != i;
  char address[32];

  cluster_relay_address (c, from, i, address, sizeof address);
  return json_pack ("{s:s s:s s:s s:i s:i}", "vm", vm->name, "domain",
                    vm->domain, "address", relayed ? address : vm->address,
                    "peer_port", relayed ? RELAY_PORT : PEER_PORT, "http_port",
                    HTTP_PORT);
}

static json_t *
vms_json (const struct cluster *c, uint32_t from, bool keepers)
{
  json_t *array = json_array ();

  for (uint32_t i = 0; i < c->vm_count; i++)
    if (c->vms[i].keeper == keepers)
      json_array_append_new (array, vm_json (c, from, i));
  return array;
}

static void
write_settings (const struct cluster *c, const struct cluster_vm *vm,
                const char *path)
{
  uint32_t from = (uint32_t)(vm - c->vms);
  char operator_hash[SHA256_HEX_BYTES];
  char target_hash[SHA256_HEX_BYTES];
  char data[2 * CLUSTER_PATH_BYTES];
  json_t *o;

  sha256_text (OPERATOR_TOKEN, strlen (OPERATOR_TOKEN), operator_hash);
  sha256_text (TARGET_TOKEN, strlen (TARGET_TOKEN), target_hash);
  snprintf (data, sizeof data, "%s/data-%s", c->folder, vm->name);
  o = json_pack (
      "{s:s s:s s:s s:s s:s s:s s:s s:i s:{s:i s:i s:i} s:o s:o}", "vm",
      vm->name, "environment", "production", "peer_secret",
      "scenario-peer-secret-0123", "operator_token_sha256", operator_hash,
      "target_token_sha256", target_hash, "data_folder", data, "log_level",
      c->log_level, "sync_delay_ms", c->sync_delay_ms, "timing",
      "heartbeat_ms", c->heartbeat_ms, "lease_ms", c->lease_ms,
      "register_window_ms", c->register_window_ms, "entries",
      vms_json (c, from, false), "keepers", vms_json (c, from, true));
  json_dump_file (o, path, JSON_INDENT (1));
  json_decref (o);
}

pid_t
cluster_spawn (const struct cluster *c, const char *program, char *const *argv,
               const char *log)
{
  char path[2 * CLUSTER_PATH_BYTES];
  pid_t pid;
  int fd;

  snprintf (path, sizeof path, "%s/%s", c->programs, program);
  pid = fork ();
  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2 (fd, 1);
  dup2 (fd, 2);
  execv (path, argv);
  _exit (127);
}

static void
init_store (const struct cluster *c, const char *settings, const char *log)
{
  char *argv[] = { "ragwortd", "--init-store", (char *)settings, NULL };
  pid_t pid = cluster_spawn (c, "ragwortd", argv, log);

  waitpid (pid, NULL, 0);
}

void
cluster_start (struct cluster *c, struct cluster_vm *vm)
{
  char settings[2 * CLUSTER_PATH_BYTES];
  char log[2 * CLUSTER_PATH_BYTES];
  char data[2 * CLUSTER_PATH_BYTES];
  char *argv[] = { "ragwortd", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", c->folder, vm->name);
  snprintf (log, sizeof log, "%s/%s.log", c->folder, vm->name);
  snprintf (data, sizeof data, "%s/data-%s", c->folder, vm->name);
  write_settings (c, vm, settings);

  /* cluster_wipe leaves the data folder, so that a wiped keeper is started
     without its journal.  */
  if (vm->keeper && access (data, F_OK) != 0)
    init_store (c, settings, log);
  vm->pid = cluster_spawn (c, "ragwortd", argv, log);
  vm->frozen = false;
  vm->stopping = false;
}

void
cluster_signal (struct cluster *c, struct cluster_vm *vm, int signal)
{
  (void)c;
  if (vm->pid == 0)
    return;
  kill (vm->pid, signal);
  if (signal == SIGKILL)
    {
      waitpid (vm->pid, NULL, 0);
      vm->pid = 0;
    }
}

void
cluster_wipe (struct cluster *c, const struct cluster_vm *vm)
{
  char path[2 * CLUSTER_PATH_BYTES];

  snprintf (path, sizeof path, "%s/data-%s/journal", c->folder, vm->name);
  unlink (path);
}

static int
domain_number (const struct cluster *c, const char *domain)
{
  for (uint32_t i = 0; i < c->domain_count; i++)
    if (strcmp (c->domains[i], domain) == 0)
      return (int)i;
  return 0;
}

static char *
option_text (const char *format, const char *value)
{
  char *text;

  if (asprintf (&text, format, value) < 0)
    abort ();
  return text;
}

static uint32_t
count_option (char *const *arguments)
{
  for (; *arguments != NULL; arguments++)
    if (strncmp (*arguments, "--count=", 8) == 0)
      return (uint32_t)atoi (*arguments + 8);
  return 1;
}

void
cluster_start_target (struct cluster *c, const char *name, const char *domain,
                      char *const *arguments)
{
  struct cluster_target *t = &c->targets[c->target_count++];
  char *argv[ARGUMENT_LIMIT] = { "fake_target" };
  int allocated = 1;
  int n;
  char text[2 * CLUSTER_PATH_BYTES];

  snprintf (t->name, sizeof t->name, "%s", name);
  argv[allocated++] = option_text ("--name=%s", name);
  argv[allocated++] = option_text ("--domain=%s", domain);
  snprintf (text, sizeof text, "127.%d.%d.100", 10 + 2 * c->net,
            domain_number (c, domain) + 1);
  argv[allocated++] = option_text ("--address=%s", text);
  snprintf (text, sizeof text, "%u", TARGET_PORT + c->next_target_port);
  argv[allocated++] = option_text ("--port=%s", text);
  snprintf (text, sizeof text, "%s/record", c->folder);
  argv[allocated++] = option_text ("--record=%s", text);
  for (uint32_t i = 0; i < c->vm_count; i++)
    if (!c->vms[i].keeper && strcmp (c->vms[i].domain, domain) == 0)
      {
        cluster_http_address (&c->vms[i], text, sizeof text);
        argv[allocated++] = option_text ("--entry=%s", text);
      }
  c->next_target_port += count_option (arguments);
  n = allocated;
  while (*arguments != NULL)
    argv[n++] = *arguments++;
  argv[n] = NULL;
  snprintf (text, sizeof text, "%s/%s.log", c->folder, name);
  t->pid = cluster_spawn (c, "fake_target", argv, text);
  for (int i = 1; i < allocated; i++)
    free (argv[i]);
}

struct cluster_target *
cluster_target (struct cluster *c, const char *name)
{
  for (uint32_t i = 0; i < c->target_count; i++)
    if (strcmp (c->targets[i].name, name) == 0)
      return &c->targets[i];
  return NULL;
}

bool
cluster_reap (pid_t *pid, int *status)
{
  if (*pid == 0)
    return true;
  if (waitpid (*pid, status, WNOHANG) != *pid)
    return false;
  *pid = 0;
  return true;
}

static void
kill_one (pid_t *pid)
{
  if (*pid == 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

void
cluster_done (struct cluster *c)
{
  for (uint32_t i = 0; i < c->vm_count; i++)
    kill_one (&c->vms[i].pid);
  for (uint32_t i = 0; i < c->target_count; i++)
    kill_one (&c->targets[i].pid);
}
