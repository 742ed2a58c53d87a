/* Whether this VM runs short of processor time, and what follows from it.

   Load pattern: an entry has 0.09 of a core.  When that is used up, its event
   loop is late by up to hundreds of ms, and with it every job that passes
   through.  A job that it does not take costs it less than one that it takes.

   The VM is short if its share is used up and its event loop is late.  Neither
   suffices alone: a used share without lateness harms nobody, and a loop that
   is late on a VM with processor time left has other causes, which often
   affect all VMs at once.

   In order, each only while the former did not suffice: the lateness is added
   to the work ahead in the capacity reports, so that jobs and delegated tasks
   go to other dispatchers; a growing share of new callers' jobs is refused;
   the entry is not ready for a while.  Jobs that it holds are always served.
 */
#ifndef COORD_VM_LOAD_H
#define COORD_VM_LOAD_H

#include <stdbool.h>
#include <stdint.h>

struct vm_load
{
  uint32_t cpu_milli; /* the VM's share in thousandths of a core; 0: unknown,
                         it is then never short */

  /* the present window */
  int64_t window_ms;     /* its start */
  int64_t window_cpu_us; /* the process's processor time then */
  int64_t weighted_late; /* sum of lateness times duration, in ms squared */

  /* the last window */
  uint32_t used_percent; /* processor time used, of the share */
  int64_t late_ms;       /* mean lateness of the event loop */

  uint32_t streak; /* windows in a row that speak for a change of IS_SHORT */
  bool is_short;
  uint32_t shed_percent; /* of new callers' jobs */
  uint32_t shed_credit;
  int64_t unready_until_ms;
  int64_t ready_until_ms; /* not unready again before */
};

void vm_load_init (struct vm_load *l, uint32_t cpu_milli, int64_t now_ms,
                   int64_t cpu_us);

/* Records that the event loop was LATE_MS late in the DURATION_MS before
   now.  */
void vm_load_tick (struct vm_load *l, int64_t duration_ms, int64_t late_ms);

/* Whether vm_load_update is due.  */
bool vm_load_is_due (const struct vm_load *l, int64_t now_ms);

/* Ends the window.  CPU_US is the processor time that the process has used.
   Returns whether IS_SHORT has changed.  */
bool vm_load_update (struct vm_load *l, int64_t now_ms, int64_t cpu_us);

/* The time in ms to add to the expected wait of jobs at this VM.  */
int64_t vm_load_delay_ms (const struct vm_load *l);

/* Whether to refuse the job of a new caller.  Call it once a job.  */
bool vm_load_sheds (struct vm_load *l);

/* Whether the VM is ready for new callers.  */
bool vm_load_is_ready (const struct vm_load *l, int64_t now_ms);

#endif
