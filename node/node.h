/*
 * node - the node role: entry for callers, home of one upstream
 *
 * All state belongs to the loop's thread, which also serves HTTP.
 *
 * SOURCE node/node.c (start and stop), node/entry*.c (callers' calls), node/caller.c
 * (callers' HTTP), node/home*.c (admission and execution), node/upstream*.c (HTTP to
 * the upstream), node/mesh.c (links to other nodes), node/watch.c (link to
 * control), node/local.c (the upstream's announcements)
 */
#ifndef NODE_H
#define NODE_H

#include "kernel/httpd.h"
#include "kernel/link.h"
#include "kernel/module.h"
#include "lib/held.h"
#include "lib/settings.h"
#include "node/admit.h"
#include "node/call_table.h"
#include "node/choose.h"
#include "node/claim.h"
#include "node/dialect.h"
#include "node/hedge.h"
#include "node/probe.h"
#include "node/retry.h"
#include "node/shed.h"
#include "node/stop.h"
#include "node/upstream.h"
#include "wire/withdrawal.h"

struct slowness_monitor;
struct home;
struct watch;
struct mesh;
struct entry;
struct quota_host;

struct node {
	struct module module; /* must be first */
	const struct settings *settings;
	const struct dialect *dialect; /* HTTP conventions of callers and the upstream */
	struct loop *loop;
	struct link_id self;

	struct dir_entry dir_entry; /* of this node */
	struct endpoint upstream_endpoint;
	char *upstream_instance; /* as announced; NULL when none was announced */
	u64 upstream_start_time; /* "born" of the announcement in force; 0 when absent */
	u64 upstream_sequence; /* of that announcement; orders those of the same start */
	struct claim upstream_claim; /* whether that announcement is in doubt */
	u64 upstream_announced_us; /* when the last announcement arrived */
	u64 upstream_ttl_us;
	struct withdrawal withdrawal; /* the newest that was acknowledged, also before a restart */
	u64 withdrawn_us; /* when it was, or when control sent it */
	u64 upstream_left_us; /* when the upstream of that announcement left; 0 if it has not */
	u64 left_start_ms; /* start of the run that the withdrawal ended; 0 if it is not known */
	bool is_stopping;
	struct stop stop;
	struct loop_timer second_timer;

	struct choose choose;
	struct probe probe;
	struct loop_timer probe_timer;
	struct entry *entry;
	struct home *home;
	struct mesh *mesh;
	struct watch *watch;
	struct quota_host *quotas;
	bool is_evacuated; /* the zone of this node is */

	struct held held; /* what this node holds for callers, its upstream and other nodes */
	struct httpd *caller_http;
	struct httpd *local_http; /* on loopback */
	struct httpd *register_http; /* announcements on the VM's own address; may be NULL */
	struct httpd *ready_http; /* may be NULL */
};

#define NODE_UPSTREAM_DEFAULT_TTL_US (3 * US_PER_S)

struct node *node_new(const struct settings *s);
void node_free(struct node *n);

/*
 * node_raise_incarnation - the node becomes a newer incarnation than KNOWN, an earlier start of it.
 * All links are made anew, as both ends of a link know the incarnation from its greeting.
 */
void node_raise_incarnation(struct node *n, u64 known);

/* node_announce - sends the changed directory entry to control and updates it in n->choose. */
void node_announce(struct node *n);

/*
 * node_apply_evacuations - takes the evacuated zones of the configuration in force: their upstreams
 * are not chosen, and this node refuses what is queued if its own zone is one of them.
 */
void node_apply_evacuations(struct node *n);

/* node_set_state - sets the state of this node's upstream; notifies control and all peers. */
void node_set_state(struct node *n, enum dir_state state);

/* entry: calls from callers */

struct entry_call {
	/* set by the submitter */
	struct http_msg *msg;
	char *service;
	char *rank;
	char *organisation; /* whose key the call has; NULL for none */
	u64 organisation_hash; /* of its name; 0 for none */
	u64 route_hash; /* of the route's key; 0 for none */
	bool is_idempotent;
	u32 worth;
	u64 target_us; /* 0 for the rank's target */
	u32 attempts; /* how many upstreams it may be sent to; 0 for the default */
	u64 deadline_us;
	void (*done)(struct node *n, struct entry_call *call); /* called once */
	void *arg;
	/* set before done() */
	struct http_msg *answer; /* NULL when the node itself answers, with status and reason */
	u16 status;
	enum ctr reason;
	bool is_not_run;
	struct call_id last_attempt_id;
	struct entry_private *priv;
};

int entry_start(struct node *n);
void entry_stop(struct node *n);

/* entry_submit - starts a call; done() may be called before entry_submit returns. */
void entry_submit(struct node *n, struct entry_call *call);

/*
 * entry_would_shed - returns whether entry_submit would refuse CALL at the source, with the random
 * source RNG. Changes nothing but RNG.
 */
bool entry_would_shed(struct node *n, const struct entry_call *call, struct rng *rng, u64 now_us);

/*
 * entry_caller_left - ends the call, as its caller has disconnected. A call that is not
 * idempotent and may already be running continues.
 */
void entry_caller_left(struct node *n, struct entry_call *call);

/* Results from home (local) or mesh (remote); unknown ids are counted and ignored. */
void entry_reply(struct node *n, struct call_id id, struct http_msg *answer,
		 const struct peer_load *load);
void entry_refuse(struct node *n, struct call_id id, enum ctr reason, bool is_not_run,
		  const struct peer_load *load);
void entry_fenced(struct node *n, struct call_id id, enum fence_state state);

/* entry_has_attempts_at - returns whether an attempt at HOME is pending, sent or not. */
bool entry_has_attempts_at(struct node *n, const char *home);

/* entry_slowness_changed - handles a changed slowness of the VM that HOME runs on. */
void entry_slowness_changed(struct node *n, const char *home);

/* entry_home_silent - HOME is silent while it has calls: hedges the idempotent ones elsewhere. */
void entry_home_silent(struct node *n, const char *home);
void entry_link_up(struct node *n, const char *peer, u64 incarnation);
void entry_link_down(struct node *n, const char *peer);

/* entry_service_known - control has sent the upstreams of SERVICE: starts calls that wait. */
void entry_service_known(struct node *n, const char *service);

/*
 * entry_directory_changed - handles a changed directory entry of a home. A home that has left
 * or restarted can't answer fences any more.
 */
void entry_directory_changed(struct node *n, const struct dir_entry *e);

/* entry_abandon_all - ends all calls now, at the end of the shutdown grace period. */
void entry_abandon_all(struct node *n);
u32 entry_in_progress(struct node *n);

/* caller: the HTTP side of entry */

int caller_start(struct node *n);
void caller_stop(struct node *n);

/* caller_refuse_incomplete - refuses the requests that have not arrived as a whole. */
void caller_refuse_incomplete(struct node *n);

/* caller_configure - applies the limits of the configuration in force. */
void caller_configure(struct node *n);

/* home: calls for this node's upstream */

int home_start(struct node *n);

/* home_free - must be called on the loop's thread. */
void home_free(struct node *n);
void home_call(struct node *n, struct link *origin, struct peer_call *call, u64 deadline_us);

/* home_has_room - returns whether the node may hold BYTES more, once slow callers are closed. */
bool home_has_room(struct node *n, u64 bytes);

/* home_may_hold_call - returns whether the node may hold one more call, with a body of BYTES. */
bool home_may_hold_call(struct node *n, u64 bytes);

/*
 * home_count_call - a call of which *COUNTED bytes of the body were counted has BYTES now, 0 at its
 * end
 */
void home_count_call(struct node *n, u64 *counted, u64 bytes);

/* home_log_dropped_reply - logs EVENT: for a reply of BYTES, to or from PEER, is no room. */
void home_log_dropped_reply(const struct node *n, const char *event, const struct link *peer,
			    u64 bytes);

/* home_refuse_unread - refuses call ID of ORIGIN, whose body of BYTES was not read. */
void home_refuse_unread(struct node *n, struct link *origin, struct call_id id, u64 bytes);
void home_cancel(struct node *n, struct call_id id);
void home_caller_left(struct node *n, struct call_id id);
void home_cancel_all(struct node *n);

/* home_refuse_queued - refuses all queued calls for REASON; they have not run. */
void home_refuse_queued(struct node *n, enum ctr reason);
void home_fence(struct node *n, struct link *origin, struct call_id id);

/* home_restored - the upstream may have become cold while its zone was evacuated. */
void home_restored(struct node *n);

/* home_expect_calls - starts polling the upstream's slowness before the first calls arrive. */
void home_expect_calls(struct node *n);
void home_link_down(struct node *n, struct link *origin);

/* home_apply_slots - applies the announced slots to admission, and so to the reported load. */
void home_apply_slots(struct node *n);

/* home_configure - applies the slots and ranks in force to admission. */
void home_configure(struct node *n);

/* home_apply_settings - applies reloaded settings. */
void home_apply_settings(struct node *n);

/* home_push_load - sends the changed load to nodes that call here; updates it in n->choose. */
void home_push_load(struct node *n);

/*
 * home_upstream_changed - closes the idle connections to an upstream that was replaced or
 * restarted, and discards its slowness.
 */
void home_upstream_changed(struct node *n);

/*
 * home_upstream_announced - an announcement of the upstream says that it is cold for COLD_MS more.
 * Without HAS_COLD it does not say; then a new upstream is cold for its service's period.
 */
void home_upstream_announced(struct node *n, bool has_cold, u64 cold_ms);

/* home_record_cold - reads from ANSWER of the health path, asked at SENT_US, how long it is cold.
 */
void home_record_cold(struct node *n, const struct http_msg *answer, u64 sent_us);
void home_tick(struct node *n, u64 now_us);
void home_get_load(struct node *n, struct peer_load *load);
u32 home_in_progress(struct node *n);

/*
 * home_record_notice - applies what the upstream says of itself in the reply to CALL, which was
 * sent at SENT_US. SOURCE names the kind of request in the log.
 */
void home_record_notice(struct node *n, const struct upstream_call *call, u64 sent_us,
			const char *source);

/* home_poll_ended - the poll of the health path that was sent at SENT_US has ended. */
void home_poll_ended(struct node *n, u64 sent_us);

/* home_is_upstream_leaving - returns whether the upstream has said so since its start. */
bool home_is_upstream_leaving(const struct node *n);

/* mesh: links to other nodes */

int mesh_start(struct node *n);
void mesh_stop(struct node *n);

/* mesh_reset - closes all links; those that are needed are made again. */
void mesh_reset(struct node *n);

/* mesh_link - returns the link to PEER, or NULL while it is down; dials it when absent. */
struct link *mesh_link(struct node *n, const char *peer);

/* mesh_is_dialling - returns whether a link to PEER is being set up. */
bool mesh_is_dialling(struct node *n, const char *peer);

/*
 * A link to a home that was not used for this time is closed. A service that is called once a
 * minute keeps its links.
 */
#define MESH_IDLE_LINK_US (60 * US_PER_S)

/*
 * mesh_close_idle_links - closes dialled links that carried nothing but pings for
 * MESH_IDLE_LINK_US, unless the home has a call of this node, or is in the subset of a service that
 * was called within this time. The next call that wants the home dials again.
 */
void mesh_close_idle_links(struct node *n, u64 now_us);

/*
 * mesh_check_silent_peers - pings homes that have calls of this node but have been silent for
 * a while. Those that do not answer get no new calls for some time, and their idempotent calls
 * are hedged.
 */
void mesh_check_silent_peers(struct node *n, u64 now_us);

/* mesh_queued_bytes - returns the bytes queued on accepted links, not yet written to a socket. */
size_t mesh_queued_bytes(struct node *n);
void mesh_goaway(struct node *n);

/*
 * mesh_finish - accepts no more links and ends those of the nodes that call here, after what is
 * queued on them. The other ends close them.
 */
void mesh_finish(struct node *n);

/* mesh_accepted_links - returns the number of links of the nodes that call here. */
u32 mesh_accepted_links(const struct node *n);

/* mesh_push_load - sends the current load to the nodes that call here. */
void mesh_push_load(struct node *n);

/* watch: link to control */

/* watch_reset - closes the links to control; the next search may begin with the same process. */
void watch_reset(struct node *n);
int watch_start(struct node *n);
void watch_stop(struct node *n);
void watch_register(struct node *n);

/* watch_link - returns the link to the control process that is in use, or NULL while it is down. */
struct link *watch_link(const struct node *n);

/* watch_apply_settings - replaces the seeds with the control processes in reloaded settings. */
void watch_apply_settings(struct node *n);

/*
 * watch_request_service - asks control for the upstreams of SERVICE unless it already has.
 * Returns whether the answer is pending; entry_service_known() follows then.
 */
bool watch_request_service(struct node *n, const char *service);

/* watch_node_count - returns the last reported number of nodes in the system; 0 if unknown. */
u32 watch_node_count(const struct node *n);

/*
 * watch_note_revision - notes that another process has, or has heard of, a configuration REVISION
 * watch_newest_revision - the highest revision that was noted
 * watch_is_current - returns whether the configuration in force is the newest as far as this node
 * can know: a fresh control process said so lately, and no higher revision was noted
 */
void watch_note_revision(struct node *n, u64 revision);
u64 watch_newest_revision(const struct node *n);
bool watch_is_current(const struct node *n);

/*
 * watch_confirmed_us - returns the last time at which the revision in force is known to have been
 * the newest; 0 if there is none.
 */
u64 watch_confirmed_us(const struct node *n);

/* local: the HTTP API that the upstream uses */

int local_start(struct node *n);
/* local_configure - takes over the limits on callers of the settings in force. */
void local_configure(struct node *n);

/* local_upstream_disproved - the address of the upstream in force answered for another instance. */
void local_upstream_disproved(struct node *n);

/* local_upstream_confirmed - the upstream in force has answered. */
void local_upstream_confirmed(struct node *n);

/*
 * local_withdraw - takes a withdrawal W that this node acknowledged before its start, as control
 * says. An upstream that was announced by what W covers is not used.
 */
void local_withdraw(struct node *n, const struct withdrawal *w);
void local_stop(struct node *n);

/* node_is_ready - returns whether a configuration is in force and the node is not stopping. */
bool node_is_ready(const struct node *n);

#endif
