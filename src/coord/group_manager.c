#include "coord/group_manager.h"

#include <stdio.h>
#include <string.h>

void
group_manager_init (struct group_manager *m, const struct settings *s)
{
  memset (m, 0, sizeof *m);
  m->lease_ms = s->lease_ms;
  for (uint32_t i = 0; i < s->vm_count; i++)
    if (s->vms[i].role == ROLE_ENTRY)
      {
        struct entry_heartbeat *h = &m->entry_heartbeats[m->count++];

        memcpy (h->vm, s->vms[i].name, sizeof h->vm);
        memcpy (h->domain, s->vms[i].domain, sizeof h->domain);
      }
}

void
group_manager_start_term (struct group_manager *m, int64_t now)
{
  m->leader_since_ms = now;
  for (uint32_t i = 0; i < m->count; i++)
    {
      m->entry_heartbeats[i].last_seen_ms = 0;
      m->entry_heartbeats[i].leaving = LEAVING_NOT;
    }
}

struct entry_heartbeat *
group_manager_find (struct group_manager *m, const char *vm)
{
  for (uint32_t i = 0; i < m->count; i++)
    if (strcmp (m->entry_heartbeats[i].vm, vm) == 0)
      return &m->entry_heartbeats[i];
  return NULL;
}

/* The heartbeat of MEMBER, or NULL if none came from its current boot.  */
static const struct entry_heartbeat *
member_heartbeat (const struct group_manager *m,
                  const struct group_member *member)
{
  const struct entry_heartbeat *h
      = group_manager_find ((struct group_manager *)m, member->vm);

  return h != NULL && h->last_seen_ms != 0 && h->boot_id == member->boot_id
             ? h
             : NULL;
}

/* When MEMBER was last seen, or when this leader was elected if it was not
   seen since.  */
static int64_t
last_seen_at (const struct group_manager *m, const struct group_member *member)
{
  const struct entry_heartbeat *h = member_heartbeat (m, member);

  return h == NULL ? m->leader_since_ms : h->last_seen_ms;
}

/* Whether MEMBER has timed out: another synced member was last seen more than
   a lease later.  */
static bool
is_timed_out (const struct group_manager *m, const struct group *g,
              const struct group_member *member)
{
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      const struct group_member *other = &g->members[i];

      if (other != member && other->synced
          && member_heartbeat (m, other) != NULL
          && last_seen_at (m, other) > last_seen_at (m, member) + m->lease_ms)
        return true;
    }
  return false;
}

/* Whether the VM of MEMBER has restarted, that is, reports another boot id. */
static bool
is_restarted (const struct group_manager *m, const struct group_member *member)
{
  const struct entry_heartbeat *h
      = group_manager_find ((struct group_manager *)m, member->vm);

  return h != NULL && h->last_seen_ms != 0 && h->boot_id != member->boot_id;
}

static bool
is_drained (const struct group_manager *m, const struct group_member *member)
{
  const struct entry_heartbeat *h = member_heartbeat (m, member);

  return h != NULL && h->leaving == LEAVING_DRAINED;
}

/* Copies the members of G that stay to NEXT.  Returns whether any is removed
   or has started or stopped draining.  */
static bool
retain_members (const struct group_manager *m, const struct group *g,
                struct group *next)
{
  bool changed = false;

  for (uint32_t i = 0; i < g->member_count; i++)
    {
      const struct group_member *member = &g->members[i];
      const struct entry_heartbeat *h = member_heartbeat (m, member);
      struct group_member *retained;

      if (is_drained (m, member) || is_restarted (m, member)
          || is_timed_out (m, g, member))
        {
          changed = true;
          continue;
        }
      retained = &next->members[next->member_count++];
      *retained = *member;
      retained->draining
          = h != NULL ? h->leaving == LEAVING_DRAINING : member->draining;
      changed = changed || retained->draining != member->draining;
    }
  return changed;
}

/* Adds to NEXT the live entries of DOMAIN that are not leaving and not members
   yet.  Returns whether there are any.  */
static bool
add_members (const struct group_manager *m, const char *domain, int64_t now,
             struct group *next)
{
  bool changed = false;

  for (uint32_t i = 0; i < m->count; i++)
    {
      const struct entry_heartbeat *h = &m->entry_heartbeats[i];
      struct group_member *added;

      if (strcmp (h->domain, domain) != 0 || h->last_seen_ms == 0
          || now - h->last_seen_ms > m->lease_ms || h->leaving != LEAVING_NOT
          || group_member_find (next, h->vm) != NULL
          || next->member_count == GROUP_MEMBER_LIMIT)
        continue;
      added = &next->members[next->member_count++];
      memset (added, 0, sizeof *added);
      memcpy (added->vm, h->vm, sizeof added->vm);
      added->boot_id = h->boot_id;
      changed = true;
    }
  return changed;
}

static uint32_t
count_synced (const struct group *g)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < g->member_count; i++)
    n += g->members[i].synced;
  return n;
}

bool
group_manager_decide (const struct group_manager *m,
                      const struct group *current, const char *domain,
                      int64_t now, int64_t wall_ms, struct group *next)
{
  static const struct group empty;
  bool changed;

  if (current == NULL)
    current = &empty;
  memset (next, 0, sizeof *next);
  snprintf (next->domain, sizeof next->domain, "%s", domain);
  changed = retain_members (m, current, next);
  if (add_members (m, domain, now, next))
    changed = true;
  if (!changed)
    return false;
  next->incarnation = current->incarnation + 1;
  next->complete_since = current->complete_since;
  next->complete_since_wall_ms = current->complete_since_wall_ms;
  if (count_synced (next) != 0 || next->member_count == 0)
    return true;
  /* No remaining member holds the records, so the group starts empty.  */
  next->complete_since = next->incarnation;
  next->complete_since_wall_ms = wall_ms;
  for (uint32_t i = 0; i < next->member_count; i++)
    next->members[i].synced = true;
  return true;
}

const struct entry_heartbeat *
group_manager_newly_synced (const struct group_manager *m,
                            const struct group *g)
{
  for (uint32_t i = 0; i < g->member_count; i++)
    {
      const struct entry_heartbeat *h = member_heartbeat (m, &g->members[i]);

      if (!g->members[i].synced && h != NULL
          && h->synced_incarnation == g->incarnation)
        return h;
    }
  return NULL;
}
