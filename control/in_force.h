/*
 * in_force - how many nodes have applied the configuration, and which have not
 *
 * Each control process reports on the nodes that it owns in the directory; the
 * report is part of its heartbeat. A node of another process counts as having applied
 * the configuration only if a recent report confirms it: if the report is outdated, all nodes
 * of that process count as behind until they expire.
 *
 * SOURCE control/in_force.c
 */
#ifndef IN_FORCE_H
#define IN_FORCE_H

#include "control/directory.h"
#include "lib/frame.h"

#define IN_FORCE_REVISIONS_MAX 16
#define IN_FORCE_BEHIND_MAX 64
/* Older reports are ignored. */
#define IN_FORCE_REPORT_TTL_US (3 * US_PER_S)

struct in_force_behind {
	char *node;
	u64 revision;
};

/* The nodes of one control process, counted by applied revision. */
struct in_force_report {
	u32 n; /* entries used in revision and nodes */
	u64 revision[IN_FORCE_REVISIONS_MAX];
	u32 nodes[IN_FORCE_REVISIONS_MAX];
	GPtrArray *behind; /* of struct in_force_behind; at most IN_FORCE_BEHIND_MAX */
};

struct in_force {
	u64 revision;
	u32 applied_nodes;
	u32 live_nodes;
	GPtrArray *behind; /* of char, node names; at most IN_FORCE_BEHIND_MAX */
};

/* in_force_report - return a report on the nodes that D owns; nodes below REVISION are named */
struct in_force_report *in_force_report(const struct directory *d, u64 revision);
void in_force_report_free(gpointer report);
void in_force_report_put(struct frame_out *f, const struct in_force_report *r);

/* in_force_report_get - return a new report; a bad field sets the frame's error */
struct in_force_report *in_force_report_get(struct frame_in *in);

/*
 * in_force_count - count the live nodes, and those that have applied REVISION
 *
 * OTHERS maps control id to struct in_force_report of the other processes.
 */
void in_force_count(const struct directory *d, GHashTable *others, u64 revision, u64 now_us,
		    struct in_force *out);
void in_force_clear(struct in_force *f);

#endif
