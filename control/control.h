/*
 * control - the control role: log, store, directory, links, HTTP API
 *
 * All state is accessed on the loop's thread only; the API has a loop of its own, which submits
 * operations to this one, see api.h.
 *
 * SOURCE control/control.c (module), control/raft_host.c (storage and messages for Raft),
 * control/op.c (operations), control/members.c (membership changes by operators),
 * control/join.c (automatic membership changes), control/nodes.c (links from nodes),
 * control/peers.c (links between control processes), control/propagate.c (directory and
 * heartbeats between control processes), control/api.c (HTTP)
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "control/config_stream.h"
#include "control/directory.h"
#include "control/in_force.h"
#include "control/quota_pool.h"
#include "control/raft.h"
#include "control/store.h"
#include "control/wal.h"
#include "kernel/link.h"
#include "kernel/module.h"
#include "lib/settings.h"

struct api;

/* What this process has applied, for control_applied. */
struct control_applied {
	u64 serial; /* of the store's last accepted change, see recent.h */
	u64 members_index; /* of the last membership entry */
};

struct control {
	struct module module; /* must be first */
	const struct settings *settings;
	struct loop *loop;
	struct link_id self;
	struct link_listener *listener;

	struct wal wal;
	struct raft raft;
	u64 log_bytes; /* bytes appended since the last snapshot */
	u32 logged_leader; /* last leader written to the log output; 0 for none */
	bool was_fresh;
	struct store store;
	struct control_applied applied; /* written on this loop, read also on the API's */
	struct directory directory;

	GHashTable *peers; /* "HOST:PORT" -> struct control_peer; outgoing links */
	GHashTable *incoming; /* link from another control process -> its lanes, see peers.c */
	struct config_streams config_streams;
	struct quota_pool quota_pool;
	u64 quota_revision; /* of the configuration whose limits it has, and */
	u32 quota_processes; /* the number of members then */
	GPtrArray *nodes; /* of struct node_link; links accepted from nodes */
	GHashTable *reports; /* control id -> struct in_force_report of another process */
	u64 heartbeat_seq;
	u64 behind_revision; /* revision of 1 s ago; nodes below it are reported as behind */

	GHashTable *ops; /* op sequence -> struct op */
	u64 op_seq;
	struct loop_timer raft_timer;
	struct loop_timer tick_timer;
	struct loop_timer freshness_timer;
	struct loop_timer propagate_timer; /* set while directory changes are pending */
	struct loop_timer heartbeat_timer; /* set while changes of applied revisions are pending */
	struct loop_timer config_timer; /* set while transfers are left for the next turn */
	u32 config_next; /* the node that was pushed last */
	struct loop_timer view_timer; /* set while changes of views are left for the next turn */
	u32 view_next; /* the node whose view is pushed next */
	u32 confirm_round; /* counts reads that confirm an initial configuration, see nodes.c */
	bool is_confirming;
	struct join *join; /* automatic membership changes, see join.h */
	struct api *api;
	/* When a process that stops waits no longer for room on its disk; 0 while it serves. */
	u64 disk_wait_end_us;
};

struct control *control_new(const struct settings *s);
void control_free(struct control *c);

/* control_applied - returns what this process has applied by now; callable on any thread. */
struct control_applied control_applied(const struct control *c);

/* raft_host */
int raft_host_open(struct control *c);
void raft_host_close(struct control *c);
void raft_host_arm(struct control *c); /* sets the timer to Raft's next deadline */

/* peers, propagate */
void peers_start(struct control *c);
void peers_stop(struct control *c); /* on the loop */
void peers_free(struct control *c); /* after the loop has ended */
struct link *peers_link(struct control *c, u32 id); /* NULL if the link is not up */
/* peers_dial_back - connect to the peer that has just connected through K */
void peers_dial_back(struct control *c, const struct link *k);
void peers_send_raft(struct control *c, u32 to, const struct raft_msg *m);
bool peers_is_sending_raft(struct control *c, u32 to); /* see struct raft_ops */
/* peers_send_forward - send a request, which may be long, through a link of peers_link */
int peers_send_forward(struct control *c, struct link *k, struct frame_out *f);
void peers_refresh(struct control *c); /* connects to new members */
void propagate_tick(struct control *c, u64 now_us); /* sends heartbeats with reports */
void propagate_schedule_heartbeat(struct control *c); /* reports changed applied revisions */
void propagate_directory(struct control *c); /* sends directory changes to the peers */
void propagate_schedule(struct control *c); /* sends changes to peers and nodes as a batch */
int peers_on_frame(struct control *c, struct link *k, u32 type, struct frame_in *in);
void peers_on_link_down(struct control *c, struct link *k); /* of a link from another process */
/* propagate_count_in_force - count the nodes that have applied the current configuration */
void propagate_count_in_force(struct control *c, struct in_force *out);

/* nodes */
void nodes_on_link_up(struct control *c, struct link *k);
void nodes_on_link_down(struct control *c, struct link *k);
int nodes_on_frame(struct control *c, struct link *k, u32 type, struct frame_in *in);
void nodes_send_freshness(struct control *c);
/* nodes_find_link - returns the link of this incarnation of NODE if it is up here, else NULL */
struct link *nodes_find_link(struct control *c, const char *node, u64 incarnation);
/* nodes_send_withdrawal - tell NODE, if its link is here, of a withdrawal newer than its own */
void nodes_send_withdrawal(struct control *c, const char *node);

/*
 * nodes_push - send each node the configuration that it lacks; what takes longer than a few ms goes
 * on in the next turns of the loop
 */
void nodes_push(struct control *c);

/*
 * nodes_push_directory - send each node the changes of its view; what takes longer than a few ms
 * goes on in the next turns of the loop
 */
void nodes_push_directory(struct control *c);

/* api */
int api_start(struct control *c);
void api_reload(struct control *c); /* takes over the limits of the settings in force */
/* Requests in progress are answered by END_US. */
void api_stop(struct control *c, u64 end_us);

#endif
