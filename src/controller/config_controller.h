/* The configuration of this entry: fetched when the control view names a
   newer number, checked, and put in force.  Numbers only rise.  */
#ifndef CONTROLLER_CONFIG_CONTROLLER_H
#define CONTROLLER_CONFIG_CONTROLLER_H

#include "controller/entry.h"

/* Fetches the document if a newer one than that in force is known of.  */
void config_check (struct entry *n);

/* Gives the teams their quotas anew, after the document or the contact with
   the keepers has changed.  */
void config_apply_quotas (struct entry *n);

/* Answers another process that asks for the document in force here.  */
void config_receive_fetch (struct entry *n, struct peer_conn *from,
                           const struct peer_call *call);

/* Hands an operator's command, a JSON text, to the keepers' leader.  The
   answer is the leader's.  */
void config_propose (struct entry *n, const char *body, size_t length,
                     void (*answer) (void *arg, int status, const char *json),
                     void *arg);

#endif
