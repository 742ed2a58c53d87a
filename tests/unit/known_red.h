/* Tests that are known to fail: KNOWN-RED.txt lists each with a line
     test: build/unit, suite SUITE, "TEST"
   Their failures are printed and are not counted as failed.  */
#ifndef UNIT_KNOWN_RED_H
#define UNIT_KNOWN_RED_H

/* Prints the failed tests that KNOWN-RED.txt, in the current folder, lists.
   Returns their number.  */
unsigned int known_red_count (void);

#endif
