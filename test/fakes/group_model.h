/*
 * group_model - control processes on a fake_group that join, are replaced and leave by themselves
 *
 * The members are those of control/membership.c and control/voters.c; requests and leaving are sent
 * as by control/join.c and control/control.c. What happens to a process later is planned.
 *
 * UNITS microseconds
 * SOURCE test/fakes/group_model.c
 */
#ifndef GROUP_MODEL_H
#define GROUP_MODEL_H

#include "control/membership.h"
#include "test/fakes/fake_group.h"

#define MODEL_PROCESSES 5
#define MODEL_FOUNDERS 3
#define MODEL_LOSSES 2
#define MODEL_REQUIRED (2 * MODEL_LOSSES + 1)
#define MODEL_STEP_US (5 * US_PER_MS)

enum action { NOTHING, HEAL, START, END };

struct model;

/* change_rule - as membership_next_change */
typedef bool (*change_rule)(const struct model *m, const struct raft *r, const GArray *requests,
			    struct voters_change *out);

struct planned_action {
	enum action action;
	u64 at_us;
};

/* A process that was told to end, and gives up its leadership and its vote first. */
struct leaving {
	u64 end_us; /* 0 while it serves */
	u64 hand_over_due_us;
};

struct model {
	struct fake_group *g;
	change_rule rule;
	bool keeps_votes; /* processes end with their votes */
	bool forgets_founding; /* a founder that starts again does not know that it is one */
	struct leaving leaving[FAKE_GROUP_MAX + 1]; /* by id */
	struct planned_action next[FAKE_GROUP_MAX + 1]; /* by id */
	bool is_gone[FAKE_GROUP_MAX + 1]; /* for good */
	u64 check_due_us;
	u64 floor; /* what was committed before the last fault */
};

/* model_begin - prepares the processes, none of which has started. */
void model_begin(struct model *m, u64 seed, change_rule rule);

/* model_product_rule - the product's rule. */
bool model_product_rule(const struct model *m, const struct raft *r, const GArray *requests,
			struct voters_change *out);

struct raft *model_raft(struct model *m, u32 id);
bool model_is_up(const struct model *m, u32 id);

/* model_step, model_run - runs for MODEL_STEP_US, or SPAN_US; a broken promise of Raft aborts. */
void model_step(struct model *m);
void model_run(struct model *m, u64 span_us);

void model_plan(struct model *m, u32 id, enum action action, u64 at_us);
u64 model_random_us(struct model *m, u64 most_us);

/* model_pick - a process that is there and of which nothing is planned. */
u32 model_pick(struct model *m);

/*
 * model_recover - runs until those that are there are members, and those that vote are there, in
 * the right number; false if that takes too long.
 */
bool model_recover(struct model *m);

/* model_change - runs until a change is accepted; false if that takes too long. */
bool model_change(struct model *m);

/* model_describe - prints the state. */
void model_describe(struct model *m);

#endif
