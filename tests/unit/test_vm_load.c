/* Tests of the decisions of a VM that runs short of processor time.  */
#include "coord/vm_load.h"
#include "tests/unit/suites.h"

enum
{
  CPU_MILLI = 90,
  WINDOW_MS = 500,
  TICK_MS = 25
};

/* The state of a simulated VM.  */
struct vm
{
  struct vm_load load;
  int64_t now_ms;
  int64_t cpu_us;
  uint32_t changes;
};

static void
init_vm (struct vm *v, uint32_t cpu_milli)
{
  *v = (struct vm){ .now_ms = 1000 };
  vm_load_init (&v->load, cpu_milli, v->now_ms, v->cpu_us);
}

/* Lets N windows pass in which USED_PERCENT of CPU_MILLI is used and every
   tick is LATE_MS late.  */
static void
pass (struct vm *v, uint32_t n, int64_t used_percent, int64_t late)
{
  while (n > 0)
    {
      int64_t duration = TICK_MS + late;

      v->now_ms += duration;
      v->cpu_us += duration * CPU_MILLI * used_percent / 100;
      vm_load_tick (&v->load, duration, late);
      if (!vm_load_is_due (&v->load, v->now_ms))
        continue;
      v->changes += vm_load_update (&v->load, v->now_ms, v->cpu_us);
      n--;
    }
}

static uint32_t
shed_of (struct vm *v, uint32_t jobs)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < jobs; i++)
    n += vm_load_sheds (&v->load);
  return n;
}

/* Guards against an entry that takes all jobs while each one waits for its
   event loop: others are sent there less, then some are refused, then it is
   not ready.  It goes on taking some, and recovers.  */
static void
test_short (void)
{
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 10, 60, 0);
  CU_ASSERT_FALSE (v.load.is_short);
  pass (&v, 2, 100, 80);
  CU_ASSERT (v.load.is_short);
  CU_ASSERT (vm_load_delay_ms (&v.load) > 60);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT (vm_load_is_ready (&v.load, v.now_ms));
  pass (&v, 3, 100, 80);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 30);
  pass (&v, 1, 100, 80);
  CU_ASSERT_FALSE (vm_load_is_ready (&v.load, v.now_ms));
  pass (&v, 20, 100, 80);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 80);
  pass (&v, 12, 50, 0);
  CU_ASSERT_FALSE (v.load.is_short);
  CU_ASSERT_EQUAL (vm_load_delay_ms (&v.load), 0);
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT_EQUAL (v.changes, 2);
}

/* Guards against refusals for other causes: a share that is used up without
   lateness, a loop that is late for another reason, one late window, and a VM
   whose share is unknown.  */
static void
test_not_short (void)
{
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 20, 150, 0);
  pass (&v, 20, 50, 200);
  pass (&v, 1, 100, 200);
  pass (&v, 1, 50, 0);
  pass (&v, 1, 100, 200);
  CU_ASSERT_EQUAL (v.changes, 0);
  CU_ASSERT_EQUAL (vm_load_delay_ms (&v.load), 0);
  init_vm (&v, 0);
  for (int i = 0; i < 100; i++)
    vm_load_tick (&v.load, 200, 175);
  CU_ASSERT_FALSE (vm_load_is_due (&v.load, v.now_ms + WINDOW_MS));
  CU_ASSERT_EQUAL (shed_of (&v, 100), 0);
  CU_ASSERT (vm_load_is_ready (&v.load, v.now_ms));
}

/* Guards against a fleet without a ready entry when all are short: each is
   ready three quarters of the time.  */
static void
test_mostly_ready (void)
{
  uint32_t ready = 0;
  struct vm v;

  init_vm (&v, CPU_MILLI);
  pass (&v, 10, 100, 80);
  for (int i = 0; i < 100; i++)
    {
      pass (&v, 1, 100, 80);
      ready += vm_load_is_ready (&v.load, v.now_ms);
    }
  CU_ASSERT (ready >= 70 && ready < 85);
}

void
suite_vm_load (void)
{
  CU_pSuite s = CU_add_suite ("vm_load", NULL, NULL);

  CU_add_test (s, "a VM short of processor time sheds jobs", test_short);
  CU_add_test (s, "nothing is shed for other causes", test_not_short);
  CU_add_test (s, "a short VM is ready most of the time", test_mostly_ready);
}
