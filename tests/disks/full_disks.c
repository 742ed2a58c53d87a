/* Test of ragwort-node with full disks: runs keeper processes on loopback
   addresses and fills their disks in turn, never two at once, by a file size
   limit of the process.  The disk is full at once or in the middle of a
   record, for 0.5 to 5 s, in half of the cases the leader's; some keepers are
   killed meanwhile, and one disk may be full at the first start.

   Checked: a change of the configuration is acknowledged at least every 4 s,
   also to the end, 10 s after the last disk has room again; no process ends by
   itself; no process keeps a removed file open.  */
#include <argp.h>
#include <dirent.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/now.h"

enum
{
  KEEPER_LIMIT = 8,
  SEEDS = 3,
  PEER_PORT = 18720,
  CONTROL_PORT = 18723,
  METRICS_PORT = 18724,
  TICK_MS = 10,
  CALL_MS = 1000,  /* an operator's call; then it tries another keeper */
  START_MS = 4000, /* until the first change must be acknowledged */
  END_MS = 10000,  /* from the last full disk to the end */
  ACK_MS = 4000,
  FULL_MIN_MS = 500,
  FULL_MAX_MS = 5000,
  ROOM_MAX_MS = 2000,
  PARTIAL_BYTES = 9000,
  EMPTY_BYTES = 18,        /* size of a journal without records */
  FIRST_LIMIT_BYTES = 300, /* of files, if the disk is full at first */
  ROUTES_MAX = 200,
  ROUTE_BYTES = 256,
  PATH_BYTES = 320
};

struct keeper
{
  char address[32];
  char folder[PATH_BYTES - 64];
  pid_t pid;
  bool full;
  rlim_t limit; /* of the size of a file, while full */
  int log_fd;
  struct event *log_event;
};

/* A change of the configuration on its way to the leader.  */
struct change
{
  char *text;
  uint32_t tries;
  uint32_t redirects;
  int keeper;
};

static struct
{
  const char *program;
  const char *parent; /* folder in which FOLDER is made */
  uint64_t seed;
  int net; /* 127.0.N.x is used */
  int64_t seconds;
  int keeper_count;
  int lost;
  int64_t change_ms; /* between changes */

  struct event_base *base;
  struct keeper keepers[KEEPER_LIMIT];
  char folder[PATH_BYTES / 4];
  uint64_t random;
  int64_t begin_ms;
  int64_t change_due_ms;
  int64_t disk_due_ms;
  int64_t acked_ms;
  int leader; /* the keeper that acknowledged a change last */
  uint64_t version;
  uint32_t acked;
  uint32_t turns;
  uint32_t violations;
} test = { .program = "build/ragwort-node",
           .parent = "/tmp",
           .seed = 1,
           .net = 245,
           .seconds = 30,
           .keeper_count = 3,
           .lost = 1,
           .change_ms = 250 };

static uint32_t
next_random (uint32_t limit)
{
  test.random ^= test.random << 13;
  test.random ^= test.random >> 7;
  test.random ^= test.random << 17;
  return (uint32_t)((test.random >> 11) % limit);
}

static void
report (const char *what, const struct keeper *k)
{
  printf ("%" PRId64 " ms: %s %s\n", now_ms () - test.begin_ms, what,
          k == NULL ? "" : k->address);
}

static void
violation (const char *what, const struct keeper *k)
{
  report (what, k);
  test.violations++;
}

static void
write_settings (const struct keeper *k, const char *path, bool first)
{
  FILE *f = fopen (path, "w");

  fprintf (f,
           "{\"vm\":\"keeper-%d\",\"role\":\"keeper\",\"environment\":"
           "\"disks\",\"address\":\"%s\",\"domain\":\"zone-%d\","
           "\"peer_port\":%d,\"peer_secret\":\"0123456789abcdef\","
           "\"metrics_port\":%d,\"seeds\":[\"127.0.%d.1:1\","
           "\"127.0.%d.2:1\",\"127.0.%d.3:1\"],\"first_start\":%s,"
           "\"lost_keepers\":%d,\"catch_up_s\":4,\"descriptors\":2000,"
           "\"lease_limit_ms\":1000,\"stop_grace_s\":6,\"control\":\"%s:%d\","
           "\"data_folder\":\"%s/data\"}",
           (int)(k - test.keepers), k->address, (int)(k - test.keepers) % 4,
           PEER_PORT, METRICS_PORT, test.net, test.net, test.net,
           first ? "true" : "false", test.lost, k->address, CONTROL_PORT,
           k->folder);
  fclose (f);
}

static void
on_log (evutil_socket_t fd, short what, void *arg)
{
  struct keeper *k = arg;
  char text[4096];
  ssize_t n = read (fd, text, sizeof text);

  (void)what;
  if (n <= 0 || write (k->log_fd, text, (size_t)n) != n)
    event_del (k->log_event);
}

/* Runs the program as a supervisor may, without standard input.  Its log goes
   through a pipe, since the file size limit would also stop a log in a file.
   It inherits the limit, which make_room may then remove at any time.  */
static void
start_keeper (struct keeper *k, bool first)
{
  const struct rlimit none = { RLIM_INFINITY, RLIM_INFINITY };
  const struct rlimit limit = { k->limit, RLIM_INFINITY };
  char path[PATH_BYTES];
  int fds[2];

  snprintf (path, sizeof path, "%s/settings.json", k->folder);
  write_settings (k, path, first);
  if (pipe2 (fds, O_CLOEXEC) != 0)
    abort ();
  if (k->full)
    setrlimit (RLIMIT_FSIZE, &limit);
  k->pid = fork ();
  if (k->pid == 0)
    {
      dup2 (fds[1], STDOUT_FILENO);
      dup2 (fds[1], STDERR_FILENO);
      close (STDIN_FILENO);
      signal (SIGXFSZ, SIG_IGN);
      execl (test.program, test.program, path, (char *)NULL);
      _exit (127);
    }
  setrlimit (RLIMIT_FSIZE, &none);
  close (fds[1]);
  if (k->log_event != NULL)
    {
      close (event_get_fd (k->log_event));
      event_free (k->log_event);
    }
  k->log_event
      = event_new (test.base, fds[0], EV_READ | EV_PERSIST, on_log, k);
  event_add (k->log_event, NULL);
}

static void
kill_keeper (struct keeper *k)
{
  kill (k->pid, SIGKILL);
  waitpid (k->pid, NULL, 0);
}

static rlim_t
journal_bytes (const struct keeper *k)
{
  char path[PATH_BYTES];
  struct stat st;

  snprintf (path, sizeof path, "%s/data/journal", k->folder);
  return stat (path, &st) == 0 ? (rlim_t)st.st_size : 0;
}

/* Fills the disk of K: no write succeeds, or none to the end of the journal,
   or one more is partial.  */
static void
fill_disk (struct keeper *k)
{
  static const rlim_t small_bytes = 64;
  struct rlimit limit = { small_bytes, RLIM_INFINITY };

  if (next_random (3) != 0)
    limit.rlim_cur
        = journal_bytes (k)
          + (next_random (2) == 0 ? 0 : next_random (PARTIAL_BYTES));
  k->full = true;
  k->limit = limit.rlim_cur;
  prlimit (k->pid, RLIMIT_FSIZE, &limit, NULL);
  test.turns++;
  report ("disk is full", k);
  if (next_random (4) != 0)
    return;
  kill_keeper (k);
  report ("killed, starts with a full disk", k);
  start_keeper (k, false);
}

static void
make_room (struct keeper *k)
{
  const struct rlimit none = { RLIM_INFINITY, RLIM_INFINITY };

  prlimit (k->pid, RLIMIT_FSIZE, &none, NULL);
  k->full = false;
  report ("disk has room again", k);
}

static void
change_disks (int64_t now)
{
  int victim = next_random (2) == 0
                   ? test.leader
                   : (int)next_random ((uint32_t)test.keeper_count);

  if (now < test.disk_due_ms)
    return;
  for (int i = 0; i < test.keeper_count; i++)
    if (test.keepers[i].full)
      {
        make_room (&test.keepers[i]);
        test.disk_due_ms = now + next_random (ROOM_MAX_MS);
        return;
      }
  if (now - test.begin_ms > test.seconds * 1000)
    return;
  fill_disk (&test.keepers[victim]);
  test.disk_due_ms
      = now + FULL_MIN_MS + next_random (FULL_MAX_MS - FULL_MIN_MS);
}

static void send_change (struct change *c);

static void
free_change (struct change *c)
{
  free (c->text);
  free (c);
}

static void
follow (struct change *c, const char *location)
{
  int host;

  c->redirects++;
  if (sscanf (location, "http://127.0.%*d.%d", &host) == 1 && host >= 1
      && host <= test.keeper_count)
    c->keeper = host - 1;
  send_change (c);
}

static void
on_answer (struct evhttp_request *req, void *arg)
{
  struct change *c = arg;
  int status = req == NULL ? 0 : evhttp_request_get_response_code (req);
  const char *location
      = status != 307 ? NULL
                      : evhttp_find_header (
                          evhttp_request_get_input_headers (req), "Location");

  if (status == 200)
    {
      test.acked++;
      test.acked_ms = now_ms ();
      test.leader = c->keeper;
    }
  else if (location != NULL && c->redirects < 3)
    {
      follow (c, location);
      return;
    }
  else if (++c->tries < (uint32_t)test.keeper_count)
    {
      c->redirects = 0;
      c->keeper = (c->keeper + 1) % test.keeper_count;
      send_change (c);
      return;
    }
  free_change (c);
}

static void
send_change (struct change *c)
{
  struct evhttp_request *req = evhttp_request_new (on_answer, c);
  struct timeval timeout = now_timeval (CALL_MS);
  struct evhttp_connection *conn = evhttp_connection_base_new (
      test.base, NULL, test.keepers[c->keeper].address, CONTROL_PORT);

  evhttp_connection_set_timeout_tv (conn, &timeout);
  evhttp_connection_free_on_completion (conn);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Host",
                     test.keepers[c->keeper].address);
  evbuffer_add (evhttp_request_get_output_buffer (req), c->text,
                strlen (c->text));
  evhttp_make_request (conn, req, EVHTTP_REQ_PUT, "/v1/config");
}

/* A configuration with one route, or with many in some cases: those soon bring
   compactions of the journal about.  */
static char *
config_text (uint64_t version)
{
  uint32_t routes = next_random (4) == 0 ? 1 + next_random (ROUTES_MAX) : 1;
  size_t size = (size_t)(routes + 1) * ROUTE_BYTES;
  char *text = malloc (size);
  size_t at = (size_t)snprintf (
      text, size, "{\"version\":%" PRIu64 ",\"routes\":[", version);

  for (uint32_t i = 0; i < routes; i++)
    at += (size_t)snprintf (
        text + at, size - at,
        "%s{\"name\":\"r%u\",\"host\":\"disks.example\",\"path-prefix\":"
        "\"/jobs%u/\",\"timeout-ms\":%u,\"target-duration-ms\":400,"
        "\"service\":\"svc\",\"max-attempts\":4,\"stretch\":2}",
        i == 0 ? "" : ",", i, i, 1500 + next_random (500));
  snprintf (text + at, size - at, "],\"services\":[{\"name\":\"svc\"}]}");
  return text;
}

static void
send_changes (int64_t now)
{
  struct change *c;

  if (now < test.change_due_ms)
    return;
  test.change_due_ms = now + test.change_ms;
  c = calloc (1, sizeof *c);
  c->text = config_text (++test.version);
  c->keeper = (int)next_random ((uint32_t)test.keeper_count);
  send_change (c);
}

static void
check_processes (void)
{
  for (int i = 0; i < test.keeper_count; i++)
    {
      struct keeper *k = &test.keepers[i];

      if (waitpid (k->pid, NULL, WNOHANG) != k->pid)
        continue;
      violation ("a process ended by itself", k);
      start_keeper (k, false);
    }
}

static void
check_open_files (const struct keeper *k)
{
  char path[PATH_BYTES];
  char target[PATH_BYTES];
  struct dirent *e;
  DIR *d;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)k->pid);
  d = opendir (path);
  while (d != NULL && (e = readdir (d)) != NULL)
    {
      ssize_t n = readlinkat (dirfd (d), e->d_name, target, sizeof target - 1);

      target[n < 0 ? 0 : n] = '\0';
      if (strstr (target, "(deleted)") != NULL)
        violation ("a removed file is kept open by", k);
    }
  if (d != NULL)
    closedir (d);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  int64_t now = now_ms ();

  (void)fd;
  (void)what;
  (void)arg;
  check_processes ();
  change_disks (now);
  send_changes (now);
  if (now - test.acked_ms > ACK_MS)
    {
      violation ("no change was acknowledged for 4 s", NULL);
      test.acked_ms = now;
    }
  if (now - test.begin_ms > test.seconds * 1000 + END_MS)
    event_base_loopbreak (test.base);
}

static void
init_keepers (void)
{
  int full = (int)next_random (2 * (uint32_t)test.keeper_count);

  snprintf (test.folder, sizeof test.folder, "%s/ragwort-disks-XXXXXX",
            test.parent);
  if (mkdtemp (test.folder) == NULL)
    abort ();
  for (int i = 0; i < test.keeper_count; i++)
    {
      struct keeper *k = &test.keepers[i];
      char path[PATH_BYTES];

      snprintf (k->address, sizeof k->address, "127.0.%d.%d", test.net, i + 1);
      snprintf (k->folder, sizeof k->folder, "%s/%d", test.folder, i);
      mkdir (k->folder, 0700);
      snprintf (path, sizeof path, "%s/log", k->folder);
      k->log_fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      k->full = i == full;
      k->limit = next_random (next_random (2) == 0 ? EMPTY_BYTES
                                                   : FIRST_LIMIT_BYTES);
      if (k->full)
        report ("disk is full at the first start", k);
      start_keeper (k, true);
    }
}

static void
finish (void)
{
  char command[PATH_BYTES];

  for (int i = 0; i < test.keeper_count; i++)
    {
      check_open_files (&test.keepers[i]);
      kill_keeper (&test.keepers[i]);
      close (event_get_fd (test.keepers[i].log_event));
      event_free (test.keepers[i].log_event);
    }
  printf ("seed %" PRIu64 ": %d keepers, %u disks full, %" PRIu64
          " changes sent, %u acknowledged, %u violations\n",
          test.seed, test.keeper_count, test.turns, test.version, test.acked,
          test.violations);
  snprintf (command, sizeof command, "rm -rf '%s'", test.folder);
  if (test.violations != 0)
    printf ("logs in %s\n", test.folder);
  else if (system (command) != 0)
    printf ("cannot remove %s\n", test.folder);
}

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "Seed of the faults and changes (1)", 0 },
        { "net", 'n', "N", 0, "Use 127.0.N.x (245)", 0 },
        { "seconds", 't', "S", 0, "How long disks fill (30)", 0 },
        { "folder", 'f', "DIR", 0, "Where the keepers' folders are (/tmp)",
          0 },
        { "keepers", 'k', "N", 0, "Number of keepers (3)", 0 },
        { "lost", 'l', "N", 0, "Keepers that may be lost at once (1)", 0 },
        { "change-ms", 'c', "MS", 0, "Interval of the changes (250)", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 's':
      test.seed = strtoull (arg, NULL, 10);
      return 0;
    case 'n':
      test.net = atoi (arg);
      return 0;
    case 't':
      test.seconds = atoi (arg);
      return 0;
    case 'f':
      test.parent = arg;
      return 0;
    case 'k':
      test.keeper_count = atoi (arg);
      if (test.keeper_count < SEEDS || test.keeper_count > KEEPER_LIMIT)
        argp_error (state, "between 3 and 8 keepers");
      return 0;
    case 'l':
      test.lost = atoi (arg);
      return 0;
    case 'c':
      test.change_ms = atoi (arg);
      return 0;
    case ARGP_KEY_ARG:
      test.program = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options,
          parse_option,
          "[PROGRAM]",
          "Tests PROGRAM, a ragwort-node, with disks that are full in turn",
          NULL,
          NULL,
          NULL };
  struct timeval tick = now_timeval (TICK_MS);
  struct event *timer;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  test.random = test.seed * 0x9E3779B97F4A7C15U + 1;
  test.base = event_base_new ();
  test.begin_ms = now_ms ();
  test.acked_ms = test.begin_ms + START_MS;
  test.disk_due_ms = test.begin_ms + START_MS;
  init_keepers ();
  timer = event_new (test.base, -1, EV_PERSIST, on_tick, NULL);
  event_add (timer, &tick);
  event_base_dispatch (test.base);
  finish ();
  event_free (timer);
  event_base_free (test.base);
  return test.violations == 0 ? 0 : 1;
}
