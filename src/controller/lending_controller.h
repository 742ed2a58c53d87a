/* Has other dispatchers run tasks that wait at this VM's: carries out what
   task_lending decides.  A part of a job travels like a job of a caller, with
   this VM as its coordinator.  */
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

/* Lends for the dispatcher of N from now on.  */
void lending_controller_init (struct lending_controller *l,
                              struct job_entry *n);

/* Forgets what is lent.  */
void lending_controller_done (struct lending_controller *l);

/* A dispatcher has told its rooms: waiting tasks may go there.  */
void lending_controller_room_heard (struct lending_controller *l);

#endif
