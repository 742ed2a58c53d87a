/* Delegates tasks that wait at this VM's dispatcher to other dispatchers, as
   task_lending decides.  A delegated part of a job is sent like a job of a
   caller, with this VM as its coordinator.  */
#ifndef CONTROLLER_LENDING_CONTROLLER_H
#define CONTROLLER_LENDING_CONTROLLER_H

#include <stdint.h>

struct job_entry;
struct lent_part;

struct lending_controller
{
  struct job_entry *entry;
  struct lent_part *parts;
};

/* Registers L with the dispatcher of N.  */
void lending_controller_init (struct lending_controller *l,
                              struct job_entry *n);

/* Frees the delegated parts without cancelling them.  */
void lending_controller_done (struct lending_controller *l);

/* To be called when a dispatcher has reported its free capacity: requests a
   scheduling pass if tasks wait.  */
void lending_controller_room_heard (struct lending_controller *l);

#endif
