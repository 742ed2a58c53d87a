/* The state that the keepers' quorum decides and of which every process holds
   a copy: the number of the active configuration and the replica group of each
   failure domain, that is, the entries that replicate each other's records of
   submissions.

   Each change of a group is a decision of the quorum that increments the
   group's incarnation (Lamport, Malkhi and Zhou 2009).  */
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
  bool synced;   /* has a copy of every record of the group */
  bool draining; /* owns keys or targets only if no other member can */
};

struct group
{
  char domain[NAME_BYTES];
  uint64_t incarnation; /* 0 until the first member joins */

  /* No record accepted at this incarnation or later has been lost.  */
  uint64_t complete_since;
  int64_t complete_since_wall_ms;

  struct group_member members[GROUP_MEMBER_LIMIT];
  uint32_t member_count;
};

struct control_view
{
  uint64_t version; /* log index of the last command applied */
  uint64_t config_number;
  char config_sha256[SHA256_HEX_BYTES];
  struct group groups[DOMAIN_LIMIT];
  uint32_t group_count;
};

/* The group of DOMAIN, or NULL.  */
const struct group *control_view_group (const struct control_view *v,
                                        const char *domain);

/* The member of G on the virtual machine VM, or NULL.  */
const struct group_member *group_member_find (const struct group *g,
                                              const char *vm);

/* Whether VM is a member of G with the same BOOT_ID, that is, not restarted
   since it joined.  */
bool group_has_member (const struct group *g, const char *vm,
                       uint64_t boot_id);

/* The member that owns KEY by rendezvous hashing, or NULL if G is empty.  */
const struct group_member *group_owner (const struct group *g,
                                        const char *key);

json_t *control_view_to_json (const struct control_view *v);

/* Returns false if O is not a valid view; V is then incomplete.  */
bool control_view_from_json (struct control_view *v, const json_t *o);

#endif
