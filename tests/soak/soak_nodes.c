#include "tests/soak/soak.h"

#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/now.h"

bool
soak_is_keeper (const struct node *n)
{
  return n->index < KEEPERS;
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
           "\"first_start\":%s,\"lost_keepers\":1,\"descriptors\":2000,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":%d,",
           n->index, soak_is_keeper (n) ? "keeper" : "entry", n->address,
           n->index % 2, PEER_PORT, LISTEN_PORT, METRICS_PORT, soak.first_net,
           soak.first_net, soak.first_net, first ? "true" : "false",
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
  n->disk_full = false;
  n->until_ms = 0;
  n->start_ms = now_ms ();
}

void
soak_kill_node (struct node *n)
{
  kill (n->pid, SIGKILL);
  waitpid (n->pid, NULL, 0);
  n->pid = 0;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 300 + soak_random_fault (2000);
  soak_log ("killed", n->address);
}

void
soak_pause_node (struct node *n)
{
  kill (n->pid, SIGSTOP);
  n->paused = true;
  n->fault_ms = now_ms ();
  n->until_ms = now_ms () + 200 + soak_random_fault (3000);
  soak_log ("paused", n->address);
}

void
soak_stop_node (struct node *n)
{
  kill (n->pid, SIGTERM);
  n->stopping = true;
  n->until_ms = now_ms () + STOP_GRACE_MS;
  soak_log ("sent SIGTERM", n->address);
}

void
soak_update_nodes (int64_t now)
{
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &soak.nodes[i];

      if (n->paused && now >= n->until_ms)
        {
          kill (n->pid, SIGCONT);
          n->paused = false;
          n->fault_ms = now;
          soak_log ("resumed", n->address);
        }
      else if (n->pid != 0 && !n->paused
               && waitpid (n->pid, NULL, WNOHANG) == n->pid)
        {
          if (!n->stopping)
            soak_violation ("a process exited unexpectedly", n->address);
          n->pid = 0;
          n->until_ms = now + 300;
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
}

void
soak_remove_folder (const char *folder)
{
  char command[320];

  snprintf (command, sizeof command, "rm -rf '%s'", folder);
  if (system (command) != 0)
    printf ("cannot remove %s\n", folder);
}
