/* The process log, by log4c: one line an event on standard error.  */
#ifndef BASE_LOG_H
#define BASE_LOG_H

struct event_info;

/* Starts logging.  Returns false if log4c cannot be set up.  */
int log_init (void);
void log_done (void);

void log_event (const struct event_info *info, const char *vm, const char *key,
                const char *detail);

#endif
