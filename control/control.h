/*
 * control - the control role: log, store, directory, links, resource interface
 *
 * All state belongs to the loop's thread; the threads of the HTTP server hand
 * operations over and wait.
 *
 * SOURCE control/control.c (service), control/raft_host.c (storage and
 * messages for raft), control/op.c (operations), control/members.c
 * (membership changes by operators), control/join.c (by themselves), control/nodes.c (links from
 * nodes), control/peers.c (links between control processes), control/spread.c (directory and
 * reports on them), control/api.c (HTTP)
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "control/directory.h"
#include "control/in_force.h"
#include "control/raft.h"
#include "control/push.h"
#include "control/store.h"
#include "control/wal.h"
#include "kernel/krn.h"
#include "kernel/link.h"
#include "lib/settings.h"

struct mg_context;

struct control {
	struct krn_service service;
	const struct settings *settings;
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;

	struct wal wal;
	struct raft raft;
	u64 log_bytes; /* appended since the last snapshot */
	u32 logged_leader; /* as the log was told; 0 for none */
	bool was_fresh;
	struct store store;
	struct directory directory;

	GHashTable *peers; /* "HOST:PORT" -> struct control_peer, links dialled */
	struct push push;
	GPtrArray *nodes; /* of struct node_link, accepted from nodes */
	GHashTable *reports; /* control id -> struct in_force_report of other processes */
	u64 beat;
	u64 settled_revision; /* a second old: who lacks it is named to the others as behind */

	GHashTable *ops; /* op sequence -> struct op */
	u64 op_seq;
	struct loop_timer raft_timer;
	struct loop_timer second_timer;
	struct loop_timer fresh_timer;
	struct loop_timer spread_timer; /* set while directory changes wait to be sent */
	struct loop_timer beat_timer; /* set while changed applied revisions wait to be sent */
	u32 confirm_round; /* reads that confirm first configurations, see nodes.c */
	bool is_confirming;
	struct join *join; /* how this group grows and heals, see join.h */
	struct mg_context *http;
	bool is_stopping;
};

struct control *control_new(const struct settings *s);
void control_free(struct control *c);

/* raft_host */
int raft_host_open(struct control *c);
void raft_host_close(struct control *c);
void raft_host_arm(struct control *c); /* sets the timer to raft's next due time */

/* peers */
void peers_start(struct control *c);
void peers_stop(struct control *c);
struct link *peers_link(struct control *c, u32 id); /* NULL when not up */
void peers_heard(struct control *c, const struct link *k); /* another control process dialled */
void peers_send_raft(struct control *c, u32 to, const struct raft_msg *m);
void peers_refresh(struct control *c); /* dials members that are new */
void peers_second(struct control *c, u64 now_us); /* beats and reports */
void peers_beat_soon(struct control *c); /* an applied revision changed */
void peers_spread_directory(struct control *c); /* sends directory changes on */
void peers_spread_soon(struct control *c); /* also to nodes; changes go together */
int peers_frame(struct control *c, struct link *k, u32 type, struct frame_in *in);

/* nodes */
void nodes_up(struct control *c, struct link *k);
void nodes_down(struct control *c, struct link *k);
int nodes_frame(struct control *c, struct link *k, u32 type, struct frame_in *in);
void nodes_push(struct control *c); /* sends what each node lacks */
void nodes_tell_fresh(struct control *c);

void nodes_push_directory(struct control *c);
void nodes_in_force(struct control *c, struct in_force *out);

/* api */
int api_start(struct control *c);
void api_stop(struct control *c);

#endif
