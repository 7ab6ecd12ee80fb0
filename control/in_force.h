/*
 * in_force - how many nodes have applied the configuration, and who has not
 *
 * Each control process reports on the nodes that it owns in the directory;
 * the report travels with its beat. Only what is confirmed is counted: nodes
 * of a process whose report is old count as behind until they expire.
 *
 * SOURCE control/in_force.c
 */
#ifndef IN_FORCE_H
#define IN_FORCE_H

#include "control/directory.h"
#include "lib/frame.h"

#define IN_FORCE_REVISIONS_MAX 16
#define IN_FORCE_BEHIND_MAX 64
/* An older report confirms nothing. */
#define IN_FORCE_REPORT_TTL_US (3 * US_PER_S)

struct in_force_behind {
	char *node;
	u64 revision;
};

/* The nodes of one control process by applied revision. */
struct in_force_report {
	u32 n;
	u64 revision[IN_FORCE_REVISIONS_MAX];
	u32 nodes[IN_FORCE_REVISIONS_MAX];
	GPtrArray *behind; /* of struct in_force_behind, not all when there are many */
};

struct in_force {
	u64 revision;
	u32 nodes;
	u32 of;
	GPtrArray *behind; /* of char, not all when there are many */
};

/* in_force_report - on the own nodes of D; those below REVISION are named. */
struct in_force_report *in_force_report(const struct directory *d, u64 revision);
void in_force_report_free(gpointer report);
void in_force_report_put(struct frame_out *f, const struct in_force_report *r);

/* in_force_report_get - a new report; the frame's error is set on a bad field. */
struct in_force_report *in_force_report_get(struct frame_in *in);

/* in_force_count - OTHERS: control id -> struct in_force_report of the other processes. */
void in_force_count(const struct directory *d, GHashTable *others, u64 revision, u64 now_us,
		    struct in_force *out);
void in_force_clear(struct in_force *f);

#endif
