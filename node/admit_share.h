/*
 * admit_share - fair shares of organisations in the contended slot time of a rank
 *
 * Each organisation has a tag for each rank: the virtual time up to which it was served. A start is
 * charged to the tag while calls of another organisation wait, and organisations of the lowest tags
 * may start (start-time fair queuing). Time in which an organisation was alone, or had no calls,
 * counts neither for nor against it.
 *
 * An organisation may be served less often than its calls arrive, as it floods or has long calls.
 * One that is served less than FLOOR_PERCENT as often as all together comes first.
 *
 * Memory is bounded: the organisation that was not used for the longest time is replaced. Those
 * with waiting calls stay; when there are too many of them, the others count as none.
 *
 * UNITS microseconds
 * SOURCE node/admit_share.c
 */
#ifndef ADMIT_SHARE_H
#define ADMIT_SHARE_H

#include "lib/types.h"
#include "node/limit.h"

#include <glib.h>

#define SHARE_SETS 64
#define SHARE_WAYS 8

/* How often calls were served recently; counts halve with time. */
struct share_tally {
	u64 halved_us;
	double served;
	double refused;
};

struct share_entry {
	u64 organisation; /* 0: not in use */
	u32 rank;
	u32 waiting; /* calls in the queue */
	u64 waiting_us; /* their work */
	u64 tag_us; /* virtual time */
	u64 used; /* number of the last use */
	struct share_tally tally;
	GList link; /* in the list of its rank while calls wait */
};

struct share_rank {
	GQueue waiting; /* of struct share_entry */
	u64 virtual_us; /* least tag when the last call started; new ones begin there */
	struct share_tally tally; /* of all organisations */
};

struct share {
	u64 uses;
	struct share_entry entries[SHARE_SETS][SHARE_WAYS];
	struct share_rank ranks[LIMIT_RANKS_MAX];
};

/* Which organisations of a rank may start a call now. */
struct share_turn {
	bool is_floor; /* only those that are below their floor */
	const struct share_rank *rank;
	u64 last_tag_us;
};

void share_init(struct share *s);

/* share_tally_add - counts calls that were started, or refused. */
void share_tally_add(struct share_tally *t, u32 served, u32 refused, u64 now_us);

/* share_is_below_floor - returns whether PART is served too seldom, compared with ALL. */
bool share_is_below_floor(const struct share_tally *part, const struct share_tally *all);

/* share_get - returns the entry of ORGANISATION in RANK; NULL for no organisation, or no room. */
struct share_entry *share_get(struct share *s, u32 rank, u64 organisation);

/* share_find - returns the entry of ORGANISATION in RANK, NULL if there is none. */
const struct share_entry *share_find(const struct share *s, u32 rank, u64 organisation);

/* share_queued, share_left - a call of E joins or leaves the queue. */
void share_queued(struct share *s, struct share_entry *e, u64 work_us);
void share_left(struct share *s, struct share_entry *e, u64 work_us);

/* share_count - counts calls of ORGANISATION in RANK that were started, or refused. */
void share_count(struct share *s, u32 rank, u64 organisation, u32 served, u32 refused, u64 now_us);

/* share_is_contended - returns whether calls of several organisations wait in RANK. */
bool share_is_contended(const struct share *s, u32 rank);

/* share_charge - charges a start to E; share_correct adds what it took in addition. */
void share_charge(struct share *s, struct share_entry *e, u64 work_us);
void share_correct(struct share *s, u32 rank, u64 organisation, i64 difference_us);

/*
 * share_turn - returns whose turn it is in RANK: organisations up to QUANTUM_US ahead of the one
 * that was served least are equal.
 */
struct share_turn share_turn(const struct share *s, u32 rank, u64 quantum_us);

/* share_may_start - returns whether E, NULL for a call without an organisation, is among them. */
bool share_may_start(const struct share_turn *turn, const struct share_entry *e);

#endif
