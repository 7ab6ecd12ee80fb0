/*
 * node - the node role: entry for callers, home of one upstream
 *
 * All state belongs to the loop's thread, which also serves HTTP.
 *
 * SOURCE node/node.c (service), node/entry*.c (callers' calls), node/caller.c
 * (callers' HTTP), node/home.c (admission and workers), node/upstream.c (HTTP to
 * the upstream), node/mesh.c (links to other nodes), node/watch.c (link to
 * control), node/local.c (the upstream's announcements)
 */
#ifndef NODE_H
#define NODE_H

#include "kernel/httpd.h"
#include "kernel/module.h"
#include "kernel/link.h"
#include "lib/settings.h"
#include "node/admit.h"
#include "node/call_table.h"
#include "node/choose.h"
#include "node/dialect.h"
#include "node/hedge.h"
#include "node/probe.h"
#include "node/retry.h"
#include "node/shed.h"

struct gauge;
struct home;
struct watch;
struct mesh;
struct entry;

struct node {
	struct module service;
	const struct settings *settings;
	const struct dialect *dialect; /* how callers and the upstream speak */
	struct loop *loop;
	struct link_id self;

	struct dir_entry own; /* what this node announces */
	struct endpoint upstream_at;
	char *upstream_instance; /* as announced; NULL when it tells none */
	u64 upstream_born; /* of the announcement that holds, with its sequence; 0 when not told */
	u64 upstream_sequence;
	u64 upstream_seen_us; /* last announcement */
	u64 upstream_ttl_us;
	bool is_stopping;
	struct loop_timer second_timer;

	struct choose choose;
	struct probe probe;
	struct loop_timer probe_timer;
	struct entry *entry;
	struct home *home;
	struct mesh *mesh;
	struct watch *watch;

	struct httpd *caller_http;
	struct httpd *local_http; /* on loopback */
	struct httpd *register_http; /* announcements on the VM's address; may be NULL */
	struct httpd *ready_http; /* may be NULL */
};

#define NODE_UPSTREAM_TTL_US (3 * US_PER_S)

struct node *node_new(const struct settings *s);
void node_free(struct node *n);

/* node_announce - the own entry changed: tell control and the own choice. */
void node_announce(struct node *n);

/* node_set_state - of the own upstream; all are told. */
void node_set_state(struct node *n, enum dir_state state);

/* entry: calls of callers */

struct entry_call {
	/* set by the owner */
	struct http_msg *msg;
	char *service;
	char *rank;
	bool is_idempotent;
	u32 worth;
	u64 target_us; /* 0: as the rank says */
	u32 attempts; /* upstreams that it may be sent to; 0 for the default */
	u64 deadline_us;
	void (*done)(struct node *n, struct entry_call *call); /* called once */
	void *arg;
	/* set when done */
	struct http_msg *answer; /* NULL: the system answers */
	u16 status;
	enum ctr reason;
	bool is_not_run;
	struct call_id last_id; /* of the last try */
	struct entry_private *priv;
};

int entry_start(struct node *n);
void entry_stop(struct node *n);

/* entry_submit - carry out a call; done() is called when it has an answer, perhaps at once. */
void entry_submit(struct node *n, struct entry_call *call);

/*
 * entry_left - nobody waits for the answer any more: the call ends, but for one
 * that may not be repeated and may run already; that one goes on.
 */
void entry_left(struct node *n, struct entry_call *call);

/* From home (local) or mesh (remote); ids of no waiting call are counted and dropped. */
void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load);
void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load);
void entry_fenced(struct node *n, struct call_id id, enum fence_state state);
/* entry_slowness - the VM of HOME's upstream became slower or faster. */
void entry_slowness(struct node *n, const char *home);

/* entry_silence - HOME is not heard while it has calls: what may be repeated is tried elsewhere. */
void entry_silence(struct node *n, const char *home);
void entry_link_up(struct node *n, const char *peer, u64 incarnation);
void entry_link_down(struct node *n, const char *peer);

/* entry_service_known - a control process told the upstreams of SERVICE, if there are any. */
void entry_service_known(struct node *n, const char *service);

/* entry_directory - what the directory says of a home; a gone or restarted one answers no fence. */
void entry_directory(struct node *n, const struct dir_entry *e);

/* entry_abandon_all - end all calls now: the grace of the shutdown is over. */
void entry_abandon_all(struct node *n);
u32 entry_in_progress(struct node *n);

/* caller: the HTTP side of entry */
int caller_start(struct node *n);
void caller_stop(struct node *n);

/* caller_configure - take over the limits of the configuration in force. */
void caller_configure(struct node *n);

/* home: calls for the own upstream */

int home_start(struct node *n);

/* home_free - on the loop's thread. */
void home_free(struct node *n);
void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us);
void home_cancel(struct node *n, struct call_id id);
void home_left(struct node *n, struct call_id id);
void home_cancel_all(struct node *n);
void home_fence(struct node *n, struct link *origin, struct call_id id);
void home_awaits_calls(struct node *n); /* so that the load is asked for before they come */
void home_link_down(struct node *n, struct link *origin);
void home_configure(struct node *n); /* slots, ranks or state changed */

/* home_settings - other settings are in force. */
void home_settings(struct node *n);

/* home_push_load - the load changed: tell the own choice and the nodes that call here. */
void home_push_load(struct node *n);

/* home_upstream_changed - another upstream, or another start of it, has the address. */
void home_upstream_changed(struct node *n);
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

/*
 * mesh_check_silence - ask homes that have calls of this node and were not heard for
 * a while; those that do not answer get no new calls for now.
 */
void mesh_check_silence(struct node *n, u64 now_us);

/* mesh_queued_bytes - replies that the sockets have not taken yet. */
size_t mesh_queued_bytes(struct node *n);
void mesh_goaway(struct node *n);

/* mesh_push_load - tell the nodes that call here the load of now. */
void mesh_push_load(struct node *n);

/* watch: link to control */

int watch_start(struct node *n);
void watch_stop(struct node *n);
void watch_register(struct node *n);

/* watch_settings - control processes that the settings name now are tried too. */
void watch_settings(struct node *n);

/*
 * watch_awaits - the upstreams of SERVICE are not known yet, and a control process was asked:
 * entry_service_known follows.
 */
bool watch_awaits(struct node *n, const char *service);

/* watch_nodes - nodes of the whole system, as told last; 0 before. */
u32 watch_nodes(const struct node *n);

/* watch_is_fresh - a control process that knows the newest configuration is linked. */
bool watch_is_fresh(const struct node *n);

/* local: the upstream's side */

int local_start(struct node *n);
void local_stop(struct node *n);

/* node_is_ready - takes new work: a configuration is in force, and the node is not stopping. */
bool node_is_ready(const struct node *n);

#endif
