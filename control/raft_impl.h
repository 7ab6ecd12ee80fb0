/*
 * raft_impl - internal interfaces between the raft source files
 *
 * SOURCE control/raft*.c
 */
#ifndef RAFT_IMPL_H
#define RAFT_IMPL_H

#include "control/raft.h"

/* Index of the snapshot that founds a group, which holds the members and no command. */
#define RAFT_FOUNDING_INDEX 1

/* raft_send - send M to TO, with the sender filled in, and the term if it is 0. */
void raft_send(struct raft *r, u32 to, struct raft_msg *m);

/* Members */
bool raft_is_voter(struct raft *r);
u32 raft_quorum(const struct raft *r);
/* raft_verified_sender - the member that sent M, or NULL unless M has its recorded replica id. */
struct raft_member *raft_verified_sender(struct raft *r, const struct raft_msg *m);
u32 raft_member_position(const struct raft *r, const struct raft_member *member);
enum raft_reply_time {
	RAFT_REPLY_ARRIVED, /* when the last reply arrived */
	RAFT_REPLY_ROUND, /* when the heartbeat round that it acknowledges was sent */
};
/* raft_count_active_voters - voters whose reply is younger than WITHIN_US, with this replica. */
u32 raft_count_active_voters(const struct raft *r, enum raft_reply_time by, u64 within_us,
			     u64 now_us);
void raft_set_members(struct raft *r, const struct raft_members *next, u64 index);
/* raft_use_latest_members - adopt the latest membership in the log or snapshot. */
void raft_use_latest_members(struct raft *r);

/* Log */
void raft_append_entry(struct raft *r, struct raft_entry *e); /* takes E; in memory only */
void raft_truncate(struct raft *r, u64 index); /* discards INDEX and later; in memory only */
void raft_sync_log(struct raft *r); /* writes the unsynced entries to disk */
void raft_apply_committed(struct raft *r);
/* raft_reset_log - replace the whole log by a snapshot; in memory only. */
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
void raft_send_heartbeats(struct raft *r, u64 now_us); /* starts a heartbeat round */
void raft_flush(struct raft *r, u64 now_us); /* sends and writes pending proposals and reads */
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
