/* What the control quorum has decided and every process knows a copy of: the
   number of the configuration in force and, for each failure domain, its
   replica group.

   A group changes only by a decision of the quorum, which raises its
   incarnation (Lamport, Malkhi and Zhou 2009).  */
#ifndef COORD_CONTROL_VIEW_H
#define COORD_CONTROL_VIEW_H

#include <stdbool.h>
#include <stdint.h>
#include <jansson.h>
#include "base/settings.h"

enum
{
  GROUP_MEMBER_LIMIT = 8
};

struct group_member
{
  char vm[NAME_BYTES];
  uint64_t boot_id;
  bool synced;   /* holds every record of the group */
  bool draining; /* owns no keys or targets where another member can */
};

struct group
{
  char domain[NAME_BYTES];
  uint64_t incarnation; /* 0 until the first member joins */

  /* Records accepted at this incarnation or later have not been lost.  */
  uint64_t complete_since;
  int64_t complete_since_wall_ms;

  struct group_member members[GROUP_MEMBER_LIMIT];
  uint32_t member_count;
};

struct control_view
{
  uint64_t version;
  uint64_t config_number;
  char config_sha256[HASH_TEXT_BYTES];
  struct group groups[DOMAIN_LIMIT];
  uint32_t group_count;
};

/* The group of DOMAIN, or NULL.  */
const struct group *control_view_group (const struct control_view *v,
                                        const char *domain);

/* The member VM, or NULL.  */
const struct group_member *group_member_find (const struct group *g,
                                              const char *vm);

/* Whether VM of BOOT_ID is a member.  */
bool group_has (const struct group *g, const char *vm, uint64_t boot_id);

/* The member that owns KEY, or NULL in an empty group.  */
const struct group_member *group_owner (const struct group *g,
                                        const char *key);

json_t *control_view_to_json (const struct control_view *v);

/* Returns false if O is not a whole view.  */
bool control_view_from_json (struct control_view *v, const json_t *o);

#endif
