/*
 * confirmation - up to when the configuration in force is known to have been the newest
 *
 * A fresh control process reports its revision, and when that was certainly the newest. A report
 * counts once the node has that revision in force, which may be later than the report. The last
 * reports are kept, as changes may come faster than they can be applied.
 *
 * UNITS microseconds
 * SOURCE node/confirmation.c
 */
#ifndef CONFIRMATION_H
#define CONFIRMATION_H

#include "lib/types.h"

/* At one report each 250 ms these are the reports of 4 s. */
#define CONFIRMATION_REPORTS 16

struct confirmation_report {
	u64 revision;
	u64 at_us;
};

struct confirmation {
	struct confirmation_report reports[CONFIRMATION_REPORTS];
	u32 next;
	u64 confirmed_us; /* by reports that are no longer kept */
};

/* confirmation_add - at AT_US no revision above REVISION had been accepted. */
void confirmation_add(struct confirmation *c, u64 revision, u64 at_us);

/*
 * confirmation_us - returns the last time at which IN_FORCE, the highest revision so far, is known
 * to have been the newest; 0 if there is none.
 */
u64 confirmation_us(struct confirmation *c, u64 in_force);

#endif
