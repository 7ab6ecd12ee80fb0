/*
 * raft_impl - what the files of raft share; not for its owner
 *
 * SOURCE control/raft*.c
 */
#ifndef RAFT_IMPL_H
#define RAFT_IMPL_H

#include "control/raft.h"

/* raft_send - fill in the sender and, when it is 0, the term, and send M. */
void raft_send(struct raft *r, u32 to, struct raft_msg *m);

/* Members */
bool raft_is_voter(struct raft *r);
u32 raft_quorum(const struct raft *r);
/* raft_verified_sender - the sender of M, when it is the data folder that the membership names. */
struct raft_member *raft_verified_sender(struct raft *r, const struct raft_msg *m);
u32 raft_member_position(const struct raft *r, const struct raft_member *member);
/* raft_count_active_voters - voters heard within WITHIN_US, this one included. */
u32 raft_count_active_voters(const struct raft *r, u64 within_us, u64 now_us);
void raft_set_members(struct raft *r, const struct raft_members *next, u64 index);
/* raft_use_latest_members - take the latest membership in the log. */
void raft_use_latest_members(struct raft *r);

/* Log */
void raft_append_entry(struct raft *r, struct raft_entry *e); /* takes E; memory only */
void raft_truncate(struct raft *r, u64 index); /* drops INDEX and later; memory only */
void raft_sync_log(struct raft *r); /* writes the entries that are in memory only */
void raft_apply_committed(struct raft *r);
/* raft_reset_log - the state is the snapshot and nothing else; memory only. */
void raft_reset_log(struct raft *r, u64 index, u64 term, const struct raft_members *members,
		    GBytes *state);

/* Elections */
void raft_reset_election_timeout(struct raft *r, u64 now_us);
void raft_reset_prevote_timeout(struct raft *r, u64 now_us);
void raft_become_follower(struct raft *r, u64 term, u32 leader, u64 now_us);
void raft_become_precandidate(struct raft *r, u64 now_us);
void raft_on_prevote(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_prevote_reply(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_vote(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_vote_reply(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_timeout_now(struct raft *r, const struct raft_msg *m, u64 now_us);

/* Leader */
void raft_send_heartbeats(struct raft *r, u64 now_us); /* a heartbeat round */
void raft_flush(struct raft *r, u64 now_us); /* sends and writes what waits */
void raft_on_append_entries_reply(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_install_snapshot_reply(struct raft *r, const struct raft_msg *m, u64 now_us);

/* Follower */
void raft_on_append_entries(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_install_snapshot(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_discard_partial_snapshot(struct raft *r);

/* Forming a group */
void raft_on_form(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_on_formed(struct raft *r, const struct raft_msg *m, u64 now_us);
void raft_tick_forming(struct raft *r, u64 now_us);

#endif
