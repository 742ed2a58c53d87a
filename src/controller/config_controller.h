/* Keeps this entry's configuration current: fetches it when the control view
   has a newer number, checks it and applies it.  Numbers only increase.  */
#ifndef CONTROLLER_CONFIG_CONTROLLER_H
#define CONTROLLER_CONFIG_CONTROLLER_H

#include "controller/entry.h"

/* Fetches the configuration if a newer one than the applied one is known.  */
void config_fetch_newer (struct entry *n);

/* Recomputes the teams' quotas, after the configuration or the contact with
   the keepers has changed.  */
void config_apply_quotas (struct entry *n);

/* Answers another process's request for the configuration applied here.  */
void config_receive_fetch (struct entry *n, struct peer_conn *from,
                           const struct peer_call *call);

/* Sends an operator's command, a JSON text, to the keepers' leader and passes
   the leader's reply to ANSWER.  Retries for a limited time while no leader
   replies; after that ANSWER gets status 503 with outcome "unknown".  */
void config_propose (struct entry *n, const char *body, size_t length,
                     void (*answer) (void *arg, int status, const char *json),
                     void *arg);

#endif
