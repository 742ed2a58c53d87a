#include "tests/soak/soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/now.h"
#include "tests/soak/socket_owner.h"

bool
soak_is_keeper (const struct node *n)
{
  return n->index < soak.keeper_count;
}

/* Whether N is down, paused or about to end.  */
bool
soak_is_disturbed (const struct node *n)
{
  return n->pid == 0 || n->paused || n->stopping;
}

struct node *
soak_node_at (const char *address)
{
  for (uint32_t i = 0; i < soak.node_count; i++)
    if (strcmp (soak.nodes[i].address, address) == 0)
      return &soak.nodes[i];
  return NULL;
}

/* Records that WHAT has happened to N, for print_history of soak_runs.c.  */
static void
record_event (struct node *n, const char *what)
{
  n->history[n->history_count++ % NODE_HISTORY]
      = (struct node_event){ soak_elapsed_ms (), what };
}

void
soak_node_event (struct node *n, const char *what)
{
  record_event (n, what);
  soak_log (what, n->address);
}

int
soak_worker_index (uint32_t i)
{
  return (int)(soak.node_count + i);
}

/* The VM that uses a fencing token: the keepers give each VM a new one for
   each target.  */
struct token_owner
{
  uint64_t token;
  int node;
  UT_hash_handle hh;
};

static struct token_owner *token_owners;

static uint64_t
request_token (const char *request, size_t length)
{
  static const char name[] = "\"fence-token\":";
  const char *at = memmem (request, length, name, sizeof name - 1);
  char digits[24] = "";

  if (at == NULL)
    return 0;
  at += sizeof name - 1;
  snprintf (digits, sizeof digits, "%.*s", (int)(request + length - at), at);
  return strtoull (digits, NULL, 10);
}

static int
find_socket_owner (const struct sockaddr_in *client,
                   const struct sockaddr_in *server)
{
  uint32_t inode = socket_owner_inode (client, server);

  for (uint32_t i = soak.keeper_count; i < soak.node_count && inode != 0; i++)
    if (soak.nodes[i].pid != 0 && socket_owner_has (soak.nodes[i].pid, inode))
      return (int)i;
  return -1;
}

/* A look at all processes takes ms, so a known token suffices.  */
int
soak_find_vm (const struct sockaddr_in *client,
              const struct sockaddr_in *server, const char *request,
              size_t length)
{
  uint64_t token = request_token (request, length);
  struct token_owner *o;
  int node;

  HASH_FIND (hh, token_owners, &token, sizeof token, o);
  if (o != NULL)
    return o->node;
  node = find_socket_owner (client, server);
  if (node < 0 || token == 0)
    return node;
  o = calloc (1, sizeof *o);
  o->token = token;
  o->node = node;
  HASH_ADD (hh, token_owners, token, sizeof token, o);
  return node;
}

void
soak_free_nodes (void)
{
  struct token_owner *o;
  struct token_owner *next;

  HASH_ITER (hh, token_owners, o, next)
  {
    HASH_DEL (token_owners, o);
    free (o);
  }
}

static void
write_settings (const struct node *n, bool first)
{
  char path[320];
  FILE *f;

  snprintf (path, sizeof path, "%s/settings.json", n->folder);
  f = fopen (path, "w");
  fprintf (f,
           "{\"vm\":\"node-%d\",\"role\":\"%s\",\"environment\":\"soak\","
           "\"address\":\"%s\",\"domain\":\"zone-%d\",\"peer_port\":%d,"
           "\"peer_listen_port\":%d,"
           "\"peer_secret\":\"0123456789abcdef\",\"metrics_port\":%d,"
           "\"seeds\":[\"127.0.%d.1:1\",\"127.0.%d.2:1\",\"127.0.%d.3:1\"],"
           "\"first_start\":%s,\"lost_keepers\":%d,\"descriptors\":2000,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":%d,",
           n->index, soak_is_keeper (n) ? "keeper" : "entry", n->address,
           (int)n->domain, PEER_PORT, LISTEN_PORT, METRICS_PORT,
           soak.first_net, soak.first_net, soak.first_net,
           first ? "true" : "false", (soak.keeper_count - 1) / 2,
           STOP_GRACE_MS / 1000);
  if (soak_is_keeper (n))
    fprintf (f, "\"control\":\"%s:%d\",\"data_folder\":\"%s/data\"}",
             n->address, CONTROL_PORT, n->folder);
  else
    fprintf (f, "\"callers\":\"%s:%d\",\"readiness\":\"%s:%d\"}", n->address,
             CALLER_PORT, n->address, READY_PORT);
  fclose (f);
}

void
soak_start_node (struct node *n, bool first)
{
  char path[320];
  char log[320];

  write_settings (n, first);
  snprintf (path, sizeof path, "%s/settings.json", n->folder);
  snprintf (log, sizeof log, "%s/log", n->folder);
  n->pid = fork ();
  if (n->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);

      /* A write beyond the file size limit that simulates a full disk must
         fail rather than kill the process.  */
      signal (SIGXFSZ, SIG_IGN);
      /* A connection of the fault proxy that is open in another process as
         well does not end when the proxy closes it.  */
      close_range (STDERR_FILENO + 1, UINT_MAX, 0);
      execl (soak.program, soak.program, path, (char *)NULL);
      _exit (127);
    }
  n->paused = false;
  n->stopping = false;
  n->stalled_until_ms = 0;
  n->disk_full = false;
  n->until_ms = 0;
  n->start_ms = now_ms ();
  n->listen_ms = 0;
  record_event (n, "started");
}

void
soak_kill_node (struct node *n)
{
  kill (n->pid, SIGKILL);
  waitpid (n->pid, NULL, 0);
  n->pid = 0;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 300 + soak_random_fault (2000);
  soak_node_event (n, "killed");
}

void
soak_power_off_node (struct node *n)
{
  fault_proxy_blackhole (&soak.proxy, n->index, PROXY_ANY, 1);
  soak_node_event (n, "loses power");
  soak_kill_node (n);
}

void
soak_pause_node (struct node *n)
{
  kill (n->pid, SIGSTOP);
  n->paused = true;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 200 + soak_random_fault (3000);
  soak_node_event (n, "paused");
}

void
soak_stop_node (struct node *n)
{
  kill (n->pid, SIGTERM);
  n->stopping = true;
  n->until_ms = now_ms () + STOP_GRACE_MS;
  soak_node_event (n, "sent SIGTERM");
}

/* Whether entry N accepts connections of callers.  */
static bool
listens (const struct node *n)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons (CALLER_PORT) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  bool connected;

  inet_pton (AF_INET, n->address, &to.sin_addr);
  connected = connect (fd, (struct sockaddr *)&to, sizeof to) == 0
              || (errno == EINPROGRESS && poll (&p, 1, 0) == 1
                  && (p.revents & POLLERR) == 0);
  close (fd);
  return connected;
}

/* Notes when entry N begins to listen after its start, which takes long on a
   busy machine.  */
static void
update_start (struct node *n, int64_t now)
{
  int64_t began_ms = n->start_ms > n->fault_ms ? n->start_ms : n->fault_ms;

  if (soak_is_keeper (n) || soak_is_disturbed (n) || n->listen_ms != 0)
    return;
  if (listens (n))
    n->listen_ms = now;
  else if (now - began_ms > START_UP_MS)
    {
      soak_violation ("a started process does not listen", n->address);
      n->listen_ms = now;
    }
}

static void
update_node (struct node *n, int64_t now)
{
  if (n->paused && now >= n->until_ms)
    {
      kill (n->pid, SIGCONT);
      n->paused = false;
      n->fault_ms = now;
      soak_node_event (n, "resumed");
    }
  else if (n->pid != 0 && !n->paused
           && waitpid (n->pid, NULL, WNOHANG) == n->pid)
    {
      if (!n->stopping)
        soak_violation ("a process exited unexpectedly", n->address);
      n->pid = 0;
      n->until_ms = now + 300;
      record_event (n, "exited");
    }
  else if (n->stopping && n->pid != 0 && now >= n->until_ms + 500)
    {
      soak_violation ("a process did not exit within its grace period",
                      n->address);
      soak_kill_node (n);
    }
  else if (n->pid == 0 && now >= n->until_ms)
    {
      soak_start_node (n, false);
      soak_log ("started", n->address);
    }
}

static void
end_stall (struct node *n)
{
  n->stalled_until_ms = 0;
  if (n->pid == 0 || n->paused)
    return;
  kill (n->pid, SIGCONT);
  record_event (n, "stall ends");
}

void
soak_update_nodes (int64_t now)
{
  for (uint32_t i = 0; i < soak.node_count; i++)
    {
      struct node *n = &soak.nodes[i];

      if (n->stalled_until_ms != 0 && now >= n->stalled_until_ms)
        end_stall (n);
      update_node (n, now);
      update_start (n, now);
    }
}

void
soak_stall_nodes (int64_t now)
{
  static int64_t due_ms;
  struct node *n;

  if (soak.stalls_per_second == 0 || now < due_ms || soak_faults_ended ())
    return;
  due_ms = now + 500 / soak.stalls_per_second
           + soak_random_stall (1000 / soak.stalls_per_second);
  n = &soak.nodes[soak_random_stall (soak.node_count)];
  if (soak_is_disturbed (n) || n->stalled_until_ms != 0)
    return;
  kill (n->pid, SIGSTOP);
  n->stalled_until_ms
      = now + STALL_MIN_MS + soak_random_stall (STALL_MAX_MS - STALL_MIN_MS);
  record_event (n, "stalls");
}

void
soak_remove_folder (const char *folder)
{
  char command[320];

  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    printf ("cannot remove %s\n", folder);
}
