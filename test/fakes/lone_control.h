/*
 * lone_control - a real control process that is the only member of its group
 *
 * SOURCE test/fakes/lone_control.c
 */
#ifndef LONE_CONTROL_H
#define LONE_CONTROL_H

#include "control/control.h"

struct lone_control {
	struct settings settings;
	struct control *control;
};

/* lone_control_start - starts the process with a new data folder, in availability zone ZONE. */
void lone_control_start(struct lone_control *p, const char *zone);

/*
 * lone_control_declare - declares TEXT as the set of VERSION on BASE, again while the change is not
 * run because no leader is known. Returns the status; 0 if its outcome is unknown, or after 20 s.
 */
u16 lone_control_declare(struct lone_control *p, u64 version, u64 base, const char *text);

/* lone_control_restart - stops the process and starts it again with its data folder. */
void lone_control_restart(struct lone_control *p);

/* lone_control_stop - stops the process and removes its data folder; it can be started again. */
void lone_control_stop(struct lone_control *p);

/* lone_control_remove_folder - removes the data folder, if there is one; the process still runs. */
void lone_control_remove_folder(struct lone_control *p);

#endif
