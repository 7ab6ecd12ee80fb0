/*
 * dirgroup - directories of three control processes on a virtual clock
 *
 * The processes exchange copies and heartbeats over links that a test can cut.
 */
#ifndef DIRGROUP_H
#define DIRGROUP_H

#include "control/directory.h"

#define DIRGROUP_PROCESSES 3
#define DIRGROUP_START_US (1000 * US_PER_S)

struct dirgroup_process {
	struct directory d;
	u64 heartbeat_seq;
	u64 sent[DIRGROUP_PROCESSES]; /* seq up to which changes were sent to each peer */
	bool is_suspended;
};

struct dirgroup {
	struct dirgroup_process p[DIRGROUP_PROCESSES];
	bool is_cut[DIRGROUP_PROCESSES][DIRGROUP_PROCESSES]; /* from, to */
	u64 now_us;
};

struct dirgroup *dirgroup_new(void);
void dirgroup_free(struct dirgroup *g);

/* dirgroup_start_process - starts process I with an empty directory. */
void dirgroup_start_process(struct dirgroup *g, u32 i, u64 incarnation);

/* dirgroup_exchange - sends every process's changes and heartbeats over the links that are up. */
void dirgroup_exchange(struct dirgroup *g);

/* dirgroup_advance_second - advances the group by a second without any renewal by a node. */
void dirgroup_advance_second(struct dirgroup *g);

void dirgroup_set_cut(struct dirgroup *g, u32 a, u32 b, bool is_cut); /* in both directions */

struct dir_entry dirgroup_entry(const char *node, u64 incarnation, u64 version,
				enum dir_state state);
int dirgroup_register(struct dirgroup *g, u32 i, const char *node, u64 incarnation, u64 version,
		      enum dir_state state);

/* dirgroup_state - NODE's state at process I; DIR_GONE if it isn't known there. */
enum dir_state dirgroup_state(const struct dirgroup *g, u32 i, const char *node);
void dirgroup_assert_state(const struct dirgroup *g, const char *node, enum dir_state state);

#endif
