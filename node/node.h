/*
 * node - the node role: entry for callers, home of one upstream
 *
 * All state belongs to the loop's thread. Server threads hand calls over and
 * wait; worker threads carry out calls at the upstream.
 *
 * SOURCE node/node.c (service), node/entry*.c (callers' calls), node/caller.c
 * (callers' HTTP), node/home.c (admission and workers), node/upstream.c (HTTP to
 * the upstream), node/mesh.c (links to other nodes), node/watch.c (link to
 * control), node/local.c (the upstream's announcements)
 */
#ifndef NODE_H
#define NODE_H

#include "kernel/krn.h"
#include "kernel/link.h"
#include "lib/settings.h"
#include "node/admit.h"
#include "node/call_table.h"
#include "node/choose.h"
#include "node/hedge.h"
#include "node/probe.h"
#include "node/retry.h"
#include "node/shed.h"

struct mg_context;
struct home;
struct watch;
struct mesh;
struct entry;

struct node {
	struct krn_service service;
	const struct settings *settings;
	struct loop *loop;
	struct link_id self;

	struct dir_entry own; /* what this node announces */
	u16 upstream_port;
	u64 upstream_seen_us; /* last announcement */
	bool is_stopping;
	u32 callers; /* callers' requests being served; atomic */
	struct loop_timer second_timer;

	struct choose choose;
	struct probe probe;
	struct loop_timer probe_timer;
	struct entry *entry;
	struct home *home;
	struct mesh *mesh;
	struct watch *watch;

	struct mg_context *caller_http;
	struct mg_context *local_http;
};

#define NODE_UPSTREAM_TTL_US (3 * US_PER_S)

struct node *node_new(const struct settings *s);
void node_free(struct node *n);

/* node_announce - the own entry changed: tell control and the own choice. */
void node_announce(struct node *n);

/* entry: calls of callers */

struct entry_call {
	/* set by the caller's thread */
	struct http_msg *msg;
	char *service;
	char *rank;
	bool is_idempotent;
	u32 worth;
	u64 deadline_us;
	bool (*has_left)(const struct entry_call *call); /* asked now and then; may be NULL */
	void *conn; /* for has_left */
	/* set on the loop's thread */
	struct http_msg *answer; /* NULL: the system answers */
	u16 status;
	enum ctr reason;
	bool is_not_run;
	struct call_id last_id; /* of the last try */
	struct entry_private *priv;
};

int entry_start(struct node *n);
void entry_stop(struct node *n);

/* entry_run - carry out a call; blocks the caller's thread until it has an answer. */
void entry_run(struct node *n, struct entry_call *call);

/* From home (local) or mesh (remote); ids of no waiting call are counted and dropped. */
void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load);
void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load);
void entry_fenced(struct node *n, struct call_id id, enum fence_state state);
void entry_link_up(struct node *n, const char *peer, u64 incarnation);
void entry_link_down(struct node *n, const char *peer);

/* entry_directory - what the directory says of a home; a gone or restarted one answers no fence. */
void entry_directory(struct node *n, const struct dir_entry *e);

/* entry_abandon_all - end all calls now: the grace of the shutdown is over. */
void entry_abandon_all(struct node *n);
u32 entry_in_progress(struct node *n);

/* caller: the HTTP side of entry */
int caller_start(struct node *n);
void caller_stop(struct node *n);

/* home: calls for the own upstream */

int home_start(struct node *n);

/* home_stop - join the workers; the loop still runs. home_free - after loop_stop. */
void home_stop(struct node *n);
void home_free(struct node *n);
void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us);
void home_cancel(struct node *n, struct call_id id);
void home_cancel_all(struct node *n);
void home_fence(struct node *n, struct link *origin, struct call_id id);
void home_link_down(struct node *n, struct link *origin);
void home_configure(struct node *n); /* slots, ranks or state changed */
void home_second(struct node *n, u64 now_us);
void home_load(struct node *n, struct peer_load *load);
u32 home_in_progress(struct node *n);

/* mesh: links to other nodes */

int mesh_start(struct node *n);
void mesh_stop(struct node *n);

/* mesh_link - the link to PEER, dialled when absent; NULL while it is not up. */
struct link *mesh_link(struct node *n, const char *peer);

/* mesh_is_dialling - true while a link to PEER may still come up. */
bool mesh_is_dialling(struct node *n, const char *peer);

/* mesh_queued_bytes - replies that the sockets have not taken yet. */
size_t mesh_queued_bytes(struct node *n);
void mesh_goaway(struct node *n);

/* watch: link to control */

int watch_start(struct node *n);
void watch_stop(struct node *n);
void watch_register(struct node *n);

/* local: the upstream's side */

int local_start(struct node *n);
void local_stop(struct node *n);

#endif
