/* Delegates tasks that wait at this VM's dispatcher to other dispatchers, as
   coord/task_delegation decides.  A delegated part of a job is sent like a job
   of a caller, with this VM as its coordinator.  */
#ifndef CONTROLLER_DELEGATION_CONTROLLER_H
#define CONTROLLER_DELEGATION_CONTROLLER_H

#include <stdint.h>

struct job_entry;
struct delegated_part;

struct delegation_controller
{
  struct job_entry *entry;
  struct delegated_part *parts;
};

/* Registers C with the dispatcher of N.  */
void delegation_controller_init (struct delegation_controller *c,
                                 struct job_entry *n);

/* Frees the delegated parts without cancelling them.  */
void delegation_controller_done (struct delegation_controller *c);

/* To be called when a dispatcher has reported its free capacity: requests a
   scheduling pass if tasks wait.  */
void delegation_controller_receive_capacity (struct delegation_controller *c);

#endif
