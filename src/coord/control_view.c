#include "coord/control_view.h"

#include <stdio.h>
#include <string.h>
#include "base/json_check.h"
#include "base/json_text.h"
#include "coord/rendezvous.h"

const struct group *
control_view_group (const struct control_view *v, const char *domain)
{
  for (uint32_t i = 0; i < v->group_count; i++)
    if (strcmp (v->groups[i].domain, domain) == 0)
      return &v->groups[i];
  return NULL;
}

const struct group_member *
group_member_find (const struct group *g, const char *vm)
{
  for (uint32_t i = 0; i < g->member_count; i++)
    if (strcmp (g->members[i].vm, vm) == 0)
      return &g->members[i];
  return NULL;
}

bool
group_has_member (const struct group *g, const char *vm, uint64_t boot_id)
{
  const struct group_member *m = group_member_find (g, vm);

  return m != NULL && m->boot_id == boot_id;
}

const struct group_member *
group_owner (const struct group *g, const char *key)
{
  const struct group_member *best = NULL;
  uint64_t best_weight = 0;

  for (uint32_t i = 0; i < g->member_count; i++)
    {
      const struct group_member *m = &g->members[i];
      uint64_t w = rendezvous_weight (key, m->vm);

      if (best == NULL || (best->draining && !m->draining)
          || (best->draining == m->draining && w > best_weight))
        {
          best = m;
          best_weight = w;
        }
    }
  return best;
}

static json_t *
group_to_json (const struct group *g)
{
  json_t *members = json_array ();

  for (uint32_t i = 0; i < g->member_count; i++)
    json_array_append_new (
        members,
        json_build ("{s:s s:I s:b s:b}", "vm", g->members[i].vm, "boot_id",
                    (json_int_t)g->members[i].boot_id, "synced",
                    g->members[i].synced, "draining", g->members[i].draining));
  return json_build (
      "{s:s s:I s:I s:I s:o}", "domain", g->domain, "incarnation",
      (json_int_t)g->incarnation, "complete_since",
      (json_int_t)g->complete_since, "complete_since_wall_ms",
      (json_int_t)g->complete_since_wall_ms, "members", members);
}

json_t *
control_view_to_json (const struct control_view *v)
{
  json_t *groups = json_array ();

  for (uint32_t i = 0; i < v->group_count; i++)
    json_array_append_new (groups, group_to_json (&v->groups[i]));
  return json_build ("{s:I s:I s:s s:o}", "version", (json_int_t)v->version,
                     "config_number", (json_int_t)v->config_number,
                     "config_sha256", v->config_sha256, "groups", groups);
}

static bool
group_from_json (struct group *g, const json_t *o)
{
  const json_t *members = json_object_get (o, "members");

  if (!json_is_array (members)
      || json_array_size (members) > GROUP_MEMBER_LIMIT)
    return false;
  snprintf (g->domain, sizeof g->domain, "%s",
            json_get_text (o, "domain", ""));
  g->incarnation = (uint64_t)json_get_integer (o, "incarnation", 0);
  g->complete_since = (uint64_t)json_get_integer (o, "complete_since", 0);
  g->complete_since_wall_ms
      = json_get_integer (o, "complete_since_wall_ms", 0);
  g->member_count = (uint32_t)json_array_size (members);
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      const json_t *m = json_array_get (members, i);

      snprintf (g->members[i].vm, sizeof g->members[i].vm, "%s",
                json_get_text (m, "vm", ""));
      g->members[i].boot_id = (uint64_t)json_get_integer (m, "boot_id", 0);
      g->members[i].synced = json_get_boolean (m, "synced", false);
      g->members[i].draining = json_get_boolean (m, "draining", false);
    }
  return g->domain[0] != '\0';
}

bool
control_view_from_json (struct control_view *v, const json_t *o)
{
  const json_t *groups = json_object_get (o, "groups");

  memset (v, 0, sizeof *v);
  if (!json_is_array (groups) || json_array_size (groups) > DOMAIN_LIMIT)
    return false;
  v->version = (uint64_t)json_get_integer (o, "version", 0);
  v->config_number = (uint64_t)json_get_integer (o, "config_number", 0);
  snprintf (v->config_sha256, sizeof v->config_sha256, "%s",
            json_get_text (o, "config_sha256", ""));
  v->group_count = (uint32_t)json_array_size (groups);
  for (uint32_t i = 0; i < v->group_count; i++)
    if (!group_from_json (&v->groups[i], json_array_get (groups, i)))
      return false;
  return true;
}
