#include "node/shed.h"

/* Counts halve in this time. */
#define HALF_LIFE_US (1 * US_PER_S)
/* Calls that are sent for each recently accepted one. */
#define SENT_PER_ACCEPTED 2
/* The least share of calls that are sent. */
#define SENT_MIN_PERCENT 2
#define RANKS_MAX 4096
/* Recent calls of an organisation that are sent in any case: they show whether it has a share. */
#define FIRST_CALLS 4
/* Bounds what one call reports after a long time. */
#define REFUSED_MAX 1000
#define ONE_CALL 1000 /* fixed point: what one call adds to a count */

struct shed_rank {
	u64 calls;
	u64 accepted;
	u64 halved_us;
	u32 refused; /* here, since shed_take_refused */
};

void shed_init(struct shed *s)
{
	s->ranks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void shed_clear(struct shed *s)
{
	g_hash_table_unref(s->ranks);
}

static char *key_text(const struct shed_key *key)
{
	if (!key->organisation)
		return g_strconcat(key->service, "/", key->rank, NULL);
	return g_strdup_printf("%s/%s/%llx", key->service, key->rank,
			       (unsigned long long)key->organisation);
}

static void halve(struct shed_rank *r, u64 now_us)
{
	for (; now_us >= r->halved_us + HALF_LIFE_US && r->calls; r->halved_us += HALF_LIFE_US) {
		r->calls /= 2;
		r->accepted /= 2;
	}
	if (now_us >= r->halved_us + HALF_LIFE_US)
		r->halved_us = now_us;
}

/* Finds or creates the counts of a rank, halved for the time that has passed. */
static struct shed_rank *get_rank(struct shed *s, const struct shed_key *of, u64 now_us)
{
	g_autofree char *key = key_text(of);
	struct shed_rank *r = g_hash_table_lookup(s->ranks, key);

	if (!r) {
		if (g_hash_table_size(s->ranks) >= RANKS_MAX)
			g_hash_table_remove_all(s->ranks);
		r = g_new0(struct shed_rank, 1);
		r->halved_us = now_us;
		g_hash_table_insert(s->ranks, g_steal_pointer(&key), r);
	}
	halve(r, now_us);
	return r;
}

/* Counts a call in R and decides on it. */
static bool decide(struct shed_rank *r, struct rng *rng, const struct shed_key *key, u32 worth,
		   u32 lowest_worth)
{
	u64 sent;

	r->calls += ONE_CALL;
	if (worth >= lowest_worth || (key->organisation && r->calls <= FIRST_CALLS * ONE_CALL))
		return false;
	sent = MAX(r->accepted * SENT_PER_ACCEPTED, r->calls * SENT_MIN_PERCENT / 100);
	if ((u64)rng_below(rng, ONE_CALL) * r->calls < sent * ONE_CALL)
		return false;
	r->refused = MIN(r->refused + 1, (u32)REFUSED_MAX);
	return true;
}

bool shed_should_refuse_of(struct shed *s, struct rng *rng, const struct shed_key *key, u32 worth,
			   u32 lowest_worth, u64 now_us)
{
	return decide(get_rank(s, key, now_us), rng, key, worth, lowest_worth);
}

bool shed_preview(const struct shed *s, struct rng *rng, const struct shed_key *key, u32 worth,
		  u32 lowest_worth, u64 now_us)
{
	g_autofree char *text = key_text(key);
	const struct shed_rank *known = g_hash_table_lookup(s->ranks, text);
	struct shed_rank r = known ? *known : (struct shed_rank){ .halved_us = now_us };

	halve(&r, now_us);
	return decide(&r, rng, key, worth, lowest_worth);
}

u32 shed_take_refused(struct shed *s, const struct shed_key *key, u64 now_us)
{
	struct shed_rank *r = get_rank(s, key, now_us);
	u32 refused = r->refused;

	r->refused = 0;
	return refused;
}

bool shed_should_refuse(struct shed *s, struct rng *rng, const char *service, const char *rank,
			u32 worth, u32 lowest_worth, u64 now_us)
{
	struct shed_key key = { .service = service, .rank = rank };

	return shed_should_refuse_of(s, rng, &key, worth, lowest_worth, now_us);
}

void shed_accepted_of(struct shed *s, const struct shed_key *key, u64 now_us)
{
	get_rank(s, key, now_us)->accepted += ONE_CALL;
}

void shed_accepted(struct shed *s, const char *service, const char *rank, u64 now_us)
{
	struct shed_key key = { .service = service, .rank = rank };

	shed_accepted_of(s, &key, now_us);
}
