/* ragwortd: the daemon.  Its settings say whether it is an entry or a keeper.
 */
#include <argp.h>
#include <event2/event.h>
#include <openssl/rand.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/event_ring.h"
#include "base/log.h"
#include "base/settings.h"
#include "controller/drain_controller.h"
#include "controller/entry.h"
#include "controller/keeper.h"

const char *argp_program_version = "ragwortd 0.1";

enum
{
  OPTION_CHECK = 'c',
  OPTION_INIT_STORE = 1000,
  HEAP_RETAINED_BYTES = 16 << 20,
  HEAP_GROWTH_BYTES = 1 << 20
};

enum exit_code
{
  EXIT_GOOD = 0,
  EXIT_SETTINGS = 2,
  EXIT_START = 3
};

struct arguments
{
  const char *settings_path;
  bool check;
  bool init_store;
};

static const struct argp_option options[] = {
  { "check", OPTION_CHECK, NULL, 0, "Check the settings and exit", 0 },
  { "init-store", OPTION_INIT_STORE, NULL, 0,
    "Create the empty journal of a new keeper and exit; must not be used for "
    "a keeper that has voted before",
    0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *a = state->input;

  switch (key)
    {
    case OPTION_CHECK:
      a->check = true;
      return 0;
    case OPTION_INIT_STORE:
      a->init_store = true;
      return 0;
    case ARGP_KEY_ARG:
      if (state->arg_num != 0)
        argp_usage (state);
      a->settings_path = arg;
      return 0;
    case ARGP_KEY_END:
      if (a->settings_path == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options,
        parse_option,
        "SETTINGS",
        "Runs an entry or a keeper of ragwortline, as set in the SETTINGS "
        "file.\vSIGTERM and SIGINT stop it gracefully.  Exit codes: 0 "
        "stopped, 2 wrong settings, 3 could not start.",
        NULL,
        NULL,
        NULL };

static enum event_level
level_of (const char *name)
{
  if (strcmp (name, "debug") == 0)
    return EVENT_DEBUG;
  if (strcmp (name, "warn") == 0)
    return EVENT_WARN;
  if (strcmp (name, "error") == 0)
    return EVENT_ERROR;
  return EVENT_INFO;
}

static void
on_entry_signal (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  drain_begin (arg);
}

static void
on_keeper_signal (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  keeper_stop (arg);
}

/* Runs the event loop until it is stopped.  HANDLER is called on SIGTERM and
   SIGINT.  */
static void
run_loop (struct event_base *base, const struct settings *s,
          event_callback_fn handler, void *arg)
{
  struct event *term = evsignal_new (base, SIGTERM, handler, arg);
  struct event *interrupt = evsignal_new (base, SIGINT, handler, arg);

  event_add (term, NULL);
  event_add (interrupt, NULL);
  event_ring_add (EVENT_PROCESS_STARTED, s->vm, "%s in %s",
                  s->role == ROLE_ENTRY ? "entry" : "keeper", s->domain);
  event_base_dispatch (base);
  event_ring_add (EVENT_PROCESS_STOPPED, s->vm, "%s", "");
  event_free (term);
  event_free (interrupt);
}

static int
run_entry (struct event_base *base, const struct settings *s, uint64_t boot_id)
{
  struct entry *n = calloc (1, sizeof *n);
  struct error e;
  bool started = entry_start (n, base, s, boot_id, &e);

  if (started)
    run_loop (base, s, on_entry_signal, n);
  else
    fprintf (stderr, "ragwortd: %s\n", e.message);
  entry_done (n);
  free (n);
  return started ? EXIT_GOOD : EXIT_START;
}

static int
run_keeper (struct event_base *base, const struct settings *s,
            uint64_t boot_id)
{
  struct keeper *k = calloc (1, sizeof *k);
  struct error e;
  bool started = keeper_start (k, base, s, boot_id, &e);
  bool failed;

  if (started)
    run_loop (base, s, on_keeper_signal, k);
  else
    fprintf (stderr, "ragwortd: %s\n", e.message);
  failed = k->log.failed;
  keeper_done (k);
  free (k);
  return started && !failed ? EXIT_GOOD : EXIT_START;
}

static int
init_store (const struct settings *s)
{
  struct error e;

  if (s->role != ROLE_KEEPER)
    {
      fprintf (stderr, "ragwortd: %s is not a keeper\n", s->vm);
      return EXIT_SETTINGS;
    }
  if (journal_create (s->data_folder, &e) != STORE_OK)
    {
      fprintf (stderr, "ragwortd: %s\n", e.message);
      return EXIT_START;
    }
  return EXIT_GOOD;
}

/* evhttp enables and disables reading and writing several times per request.
   With the change list, changes that cancel out need no system call.  */
static struct event_base *
make_base (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

/* Retains freed memory instead of returning it to the system after every large
   job.  */
static void
configure_malloc (void)
{
  mallopt (M_TRIM_THRESHOLD, HEAP_RETAINED_BYTES);
  mallopt (M_MMAP_THRESHOLD, HEAP_RETAINED_BYTES);
  mallopt (M_TOP_PAD, HEAP_GROWTH_BYTES);
}

static int
run (const struct settings *s)
{
  struct event_base *base = make_base ();
  uint64_t boot_id;
  int status;

  RAND_bytes ((unsigned char *)&boot_id, sizeof boot_id);
  /* The boot id is stored as a JSON integer, which is signed.  */
  boot_id >>= 1;
  srand ((unsigned int)boot_id);
  signal (SIGPIPE, SIG_IGN);
  configure_malloc ();
  log_init ();
  event_ring_init (s->vm, level_of (s->log_level));
  status = s->role == ROLE_ENTRY ? run_entry (base, s, boot_id)
                                 : run_keeper (base, s, boot_id);
  event_ring_done ();
  log_done ();
  event_base_free (base);
  return status;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { NULL, false, false };
  struct settings *settings = calloc (1, sizeof *settings);
  struct error e;
  int status;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (settings_load (settings, arguments.settings_path, &e) != SETTINGS_OK)
    {
      fprintf (stderr, "ragwortd: %s\n", e.message);
      free (settings);
      return EXIT_SETTINGS;
    }
  if (arguments.check)
    status = EXIT_GOOD;
  else if (arguments.init_store)
    status = init_store (settings);
  else
    status = run (settings);
  free (settings);
  return status;
}
