/* The process log, written with log4c: one structured line per event on
   standard output.

   A line consists of name=value pairs: the wall-clock time in ms, the level,
   the event's number and name in the catalogue, the VM, the key (the id of a
   request, target or VM) and the fields of the event's detail.  */
#ifndef BASE_LOG_H
#define BASE_LOG_H

struct event_info;

/* Initializes logging.  Returns 0, or -1 if log4c cannot be initialized.  */
int log_init (void);
void log_done (void);

void log_event (const struct event_info *info, const char *vm, const char *key,
                const char *detail);

#endif
