/* What the parts of fake_group share. */
#ifndef FAKE_GROUP_IMPL_H
#define FAKE_GROUP_IMPL_H

#include "test/fakes/fake_group.h"

struct fake_message {
	u64 due_us;
	u64 seq;
	u32 from;
	u32 to;
	u32 epoch; /* of the link */
	GBytes *frame;
};

struct fake_commit {
	u64 term;
	u64 hash; /* hash of the entry */
	u64 state; /* state hash after the entry; 0 while unknown */
};

struct fake_read {
	u64 min_commit_index; /* highest index applied by any replica when the read began */
	u32 id;
	bool is_done;
};

struct fake_proposal {
	u64 index;
	u64 term;
	u32 id;
	bool is_acked;
};

static inline struct fake_replica *replica_of(struct raft *r)
{
	return r->arg;
}

/* Checks: fake_group_check.c */

/* fake_group_report - records WHAT as the violation if it is the first one. */
void fake_group_report(struct fake_group *g, const char *what, u32 id, u64 index);
u64 fake_entry_hash(const struct raft_entry *e);

/* fake_group_check_entry - log matching: an index and term identify one entry, one predecessor. */
void fake_group_check_entry(struct fake_replica *f, const struct raft_entry *e, u64 previous_term);
struct fake_commit *fake_group_commit_at(struct fake_group *g, u64 index);
void fake_group_check_state(struct fake_replica *f, u64 index);
void fake_group_check_leader(struct fake_replica *f);

/* Network: fake_group_net.c */

/* fake_group_break_links - ends the links between two replicas. */
void fake_group_break_links(struct fake_group *g, u32 a, u32 b);
void fake_group_send(struct raft *r, u32 to, const struct raft_msg *m);
bool fake_group_is_sending(struct raft *r, u32 to);
void fake_group_deliver(struct fake_group *g, struct fake_message *m);

/* fake_group_next_message - position in the queue of the message that is due first. */
guint fake_group_next_message(const struct fake_group *g);
void fake_message_free(gpointer p);

/* Callbacks of a replica's raft: fake_group_ops.c */
extern const struct raft_ops fake_group_ops;

/* fake_group_after_step - checks replica ID, or ends it if a write of the step failed. */
void fake_group_after_step(struct fake_group *g, u32 id);

#endif
