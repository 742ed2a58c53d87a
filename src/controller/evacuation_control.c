#include "controller/evacuation_control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/json_text.h"
#include "base/now.h"

/* An order or a read that waits for the keepers' log.  */
struct evacuation_call
{
  struct quorum_keeper *keeper;
  char domain[NAME_BYTES];
  bool active;
  evacuation_done done;
  void *arg;
};

bool
evacuation_control_accepts (const struct quorum_keeper *k, const char *domain,
                            bool active)
{
  if (domain[0] == '\0' || strlen (domain) >= NAME_BYTES)
    return false;
  if (!active && evacuation_set_find (&k->evacuations, domain) != NULL)
    return true;
  return node_settings_knows_domain (k->settings, domain);
}

static struct evacuation_call *
call_new (struct quorum_keeper *k, const char *domain, bool active,
          evacuation_done done, void *arg)
{
  struct evacuation_call *c = calloc (1, sizeof *c);

  c->keeper = k;
  snprintf (c->domain, sizeof c->domain, "%s", domain);
  c->active = active;
  c->done = done;
  c->arg = arg;
  return c;
}

/* Called right after the order was applied: if the set does not show it, the
   set was full.  */
static void
on_ordered (void *arg, enum config_result result, const char *text)
{
  struct evacuation_call *c = arg;
  const struct evacuation_set *set = &c->keeper->evacuations;
  bool applied = (evacuation_set_find (set, c->domain) != NULL) == c->active;

  (void)text;
  if (result != CONFIG_COMMITTED)
    c->done (c->arg, EVACUATION_UNCONFIRMED, NULL);
  else
    c->done (c->arg, applied ? EVACUATION_DONE : EVACUATION_FULL, NULL);
  free (c);
}

void
evacuation_control_order (struct quorum_keeper *k, int64_t now,
                          const char *domain, bool active,
                          evacuation_done done, void *arg)
{
  json_t *command = json_build ("{s:s s:s s:b s:I}", "type", "evacuation",
                                "domain", domain, "active", (int)active, "at",
                                (json_int_t)now_wall_ms ());

  quorum_keeper_commit (k, now, command, on_ordered,
                        call_new (k, domain, active, done, arg));
}

static void
on_read (void *arg, enum config_result result, const char *text)
{
  struct evacuation_call *c = arg;

  (void)text;
  if (result == CONFIG_READ || result == CONFIG_NONE)
    c->done (c->arg, EVACUATION_READ, &c->keeper->evacuations);
  else
    c->done (c->arg, EVACUATION_UNCONFIRMED, NULL);
  free (c);
}

void
evacuation_control_read (struct quorum_keeper *k, int64_t now,
                         evacuation_done done, void *arg)
{
  quorum_keeper_get_config (k, now, on_read,
                            call_new (k, "", false, done, arg));
}
