/*
 * entry_impl - private declarations shared by the source files of entry
 *
 * SOURCE node/entry.c (calls), node/entry_attempts.c (attempts and hedges),
 * node/entry_fence.c (links that break and reconnect)
 */
#ifndef ENTRY_IMPL_H
#define ENTRY_IMPL_H

#include "node/node.h"
#include "node/retry_quota.h"

enum attempt_state {
	ATTEMPT_CONNECTING, /* waits for the link to the home node, nothing was sent */
	ATTEMPT_SENT,
	ATTEMPT_FENCING, /* the link broke; a fence asks for the outcome once it is up again */
};

/* One attempt of a call at one home node; each has its own id. */
struct call_attempt {
	struct call_id id;
	struct entry_call *call;
	enum attempt_state state;
	char *home;
	u64 home_incarnation;
	u64 sent_us;
};

struct entry_private {
	struct node *node;
	struct loop_timer deadline;
	struct loop_timer hedge_timer;
	struct loop_timer wait_timer; /* set while the call waits for the service's upstreams */
	GPtrArray *tried_homes; /* of char: names of the home nodes that were chosen so far */
	struct call_attempt *current;
	struct call_attempt *hedge; /* parallel second attempt of a slow call */
	u32 attempt_count; /* attempts so far, hedges included; without unreachable home nodes */
	u32 upstream_attempts; /* failed attempts that reached an upstream, or may have */
	bool may_have_run;
	bool has_run_reason; /* an attempt that may have run has failed, for run_reason */
	enum ctr run_reason;
	bool has_alternative; /* another upstream may take the call if the current one refuses */
	bool caller_left; /* the caller has disconnected */
};

struct entry {
	GHashTable *attempts; /* sequence -> struct call_attempt */
	GHashTable *calls; /* set of struct entry_call */
	u64 seq; /* of the last attempt */
	u64 origin; /* in the ids of this node's attempts */
	struct retry_budget budget;
	struct hedge hedge;
	struct shed shed;
	struct retry_quota retry_quota;
};

/* entry_shed_key - returns which calls are refused at the source together with CALL. */
struct shed_key entry_shed_key(const struct entry_call *call);

/* entry_start_attempt - sends the call to the best untried upstream; fails it if there is none. */
void entry_start_attempt(struct node *n, struct entry_call *call);
void entry_send_to_peer(struct node *n, struct call_attempt *a, struct link *k);
void entry_skip_unreachable(struct node *n, struct entry_call *call, const char *home);

/*
 * A call is not retried after a refusal that did not involve the upstream once it has had this
 * many attempts of any kind, hedges included: each costs the caller a round trip.
 */
#define ENTRY_HOME_ATTEMPTS_MAX 4

/* entry_upstream_attempts_max - returns how many upstreams the call may be sent to. */
u32 entry_upstream_attempts_max(const struct entry_call *call);

/*
 * entry_start_hedge_timer - schedules entry_on_hedge_timer after a high percentile of the
 * rank's latency.
 */
void entry_start_hedge_timer(struct node *n, struct entry_call *call);
void entry_on_hedge_timer(void *arg, u64 now_us);

/*
 * entry_find_attempt - returns the pending attempt with this ID, or NULL when it has ended;
 * the reply that named it then counts as late.
 */
struct call_attempt *entry_find_attempt(struct node *n, struct call_id id);

/*
 * entry_attempts_at - returns the sequence numbers of the pending attempts at HOME; the caller
 * frees the array. Ending one attempt may end others, so look up each one before using it.
 */
GArray *entry_attempts_at(struct node *n, const char *home);

/* entry_attempt_by_seq - returns the attempt with this sequence, or NULL when it has ended. */
struct call_attempt *entry_attempt_by_seq(struct node *n, u64 seq);

/* entry_record_result - updates the statistics of the attempt's target. */
void entry_record_result(struct node *n, const struct call_attempt *a, enum choose_result result);

/* entry_attempt_free - removes the attempt from its call and frees it. */
void entry_attempt_free(struct node *n, struct call_attempt *a);

/* entry_note_run - records that an attempt which may have run has failed for REASON. */
void entry_note_run(struct entry_call *call, enum ctr reason);

/*
 * entry_retry_or_fail - retries the call after a failed attempt, or fails it; does nothing
 * while another attempt is pending.
 */
void entry_retry_or_fail(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run);
void entry_fail(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run);

#endif
