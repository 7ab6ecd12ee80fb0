/*
 * entry_impl - what the parts of entry share
 *
 * SOURCE node/entry.c (calls), node/entry_try.c (tries and hedges),
 * node/entry_fence.c (links that break and come again)
 */
#ifndef ENTRY_IMPL_H
#define ENTRY_IMPL_H

#include "node/node.h"
#include "node/spend.h"

enum try_state { TRY_CONNECTING, TRY_SENT, TRY_FENCING };

/* One try of a call at one home node; each has its own id. */
struct call_try {
	struct call_id id;
	struct entry_call *call;
	enum try_state state;
	char *home;
	u64 home_incarnation;
	u64 sent_us;
};

struct entry_private {
	struct node *node;
	struct loop_timer deadline;
	struct loop_timer hedge_timer;
	struct loop_timer wait_timer; /* set while the call waits for the service to be known */
	GPtrArray *tried; /* of char: home nodes that refused or failed */
	struct call_try *current;
	struct call_try *hedge; /* second try of a slow call, beside the current one */
	u32 tries;
	u32 sends; /* tries that reached an upstream, or may have */
	bool may_have_run;
	bool has_alternative; /* the present try: another upstream may take the call if it is
				 refused */
	bool has_left; /* nobody waits for the answer */
};

struct entry {
	GHashTable *tries; /* sequence -> struct call_try */
	GHashTable *calls; /* set of struct entry_call */
	u64 seq;
	u64 origin; /* of the ids of this node's calls */
	struct retry_budget budget;
	struct hedge hedge;
	struct shed shed;
	struct spend spend;
};

/* entry_attempt - try the call at the best upstream that was not tried, or give up. */
void entry_attempt(struct node *n, struct entry_call *call);
void entry_send_to_peer(struct node *n, struct call_try *t, struct link *k);
void entry_skip_unreachable(struct node *n, struct entry_call *call, const char *home);

/* Tries that homes refuse without the upstream; each costs its caller a round trip. */
#define ENTRY_HOME_TRIES_MAX 4

/* entry_sends_max - upstreams that the call may be sent to. */
u32 entry_sends_max(const struct entry_call *call);

/* entry_start_hedge_timer - fire entry_on_hedge past a high percentile of the rank's time. */
void entry_start_hedge_timer(struct node *n, struct entry_call *call);
void entry_on_hedge(void *arg, u64 now_us);

/* entry_find_try - the try that waits under ID; a late one is counted and gives NULL. */
struct call_try *entry_find_try(struct node *n, struct call_id id);

/*
 * entry_tries_at - the sequences of the tries at HOME, to be freed as an array. What
 * ends one of them may end others, so each is looked up when its turn comes.
 */
GArray *entry_tries_at(struct node *n, const char *home);

/* entry_try_of - the try with this sequence, or NULL when it has ended. */
struct call_try *entry_try_of(struct node *n, u64 seq);

/* entry_note_end - tell the choice how the try ended; entry_try_end - forget and free it. */
void entry_note_end(struct node *n, const struct call_try *t, enum choose_result result);
void entry_try_end(struct node *n, struct call_try *t);

/* entry_again_or_give_up - after a failed try; nothing while another try goes on. */
void entry_again_or_give_up(struct node *n, struct entry_call *call, enum ctr reason,
			    bool is_not_run);
void entry_give_up(struct node *n, struct entry_call *call, enum ctr reason, bool is_not_run);

#endif
