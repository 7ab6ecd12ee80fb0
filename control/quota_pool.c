#include "control/quota_pool.h"

#include "control/quota_window.h"
#include "lib/ctr.h"
#include "lib/log.h"
#include "lib/pmap.h"

#include <string.h>

#define TOKEN 1000000000ULL /* in nanotokens */
#define PERMILLE 1000
/* Parts of the tolerance; see quota_pool.h. */
#define BUCKET_PART 4
#define RESERVES_PART 4
#define START_PART 8
/* For how long requests that come again are refused after one that came for the first time was. */
#define CONTENTION_US (1 * US_PER_S)
/* An organisation's refusals are logged at most this often. */
#define LOG_INTERVAL_US (1 * US_PER_S)

struct quota_bucket {
	u64 organisation;
	char *name;
	u64 rate_milli_per_s; /* nanotokens a microsecond */
	u64 burst;
	u64 tolerance; /* nanotokens */
	u64 capacity;
	u64 level;
	u64 level_us; /* when LEVEL was true */
	u64 promised_us; /* when the last refused call was told to return */
	u64 reserve_left;
	u32 reserve; /* the number of the reserves that RESERVE_LEFT is of */
	u64 refused_us; /* when a request that came for the first time was last refused; 0: never */
	u64 logged_us; /* when its last refusals were logged */
	u64 granted; /* since then */
	u64 refused;
	bool is_listed; /* the set in force limits the organisation */
	u64 unlisted_us; /* otherwise: since when it does not */
	u64 lowered_us; /* when the capacity was last lowered; 0: never */
	u64 cut; /* tokens that it had above the lower capacities since then */
	struct quota_window window;
	u64 window_max; /* tokens that may be granted in a window */
	u64 window_max_before; /* the highest one that was lowered at LOWERED_US */
};

static void bucket_free(gpointer p)
{
	struct quota_bucket *b = p;

	g_free(b->name);
	g_free(b);
}

void quota_pool_init(struct quota_pool *p, const struct quota_pool_settings *settings)
{
	memset(p, 0, sizeof(*p));
	p->settings = *settings;
	p->processes = 1;
	p->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, bucket_free);
}

void quota_pool_clear(struct quota_pool *p)
{
	g_clear_pointer(&p->buckets, g_hash_table_unref);
}

static void refill(struct quota_bucket *b, u64 now_us)
{
	u64 room = b->capacity - MIN(b->level, b->capacity);
	u64 passed_us = now_us > b->level_us ? now_us - b->level_us : 0;

	b->level_us = MAX(now_us, b->level_us);
	if (!b->rate_milli_per_s)
		return;
	if (passed_us > room / b->rate_milli_per_s)
		b->level = b->capacity;
	else
		b->level += passed_us * b->rate_milli_per_s;
}

/* Returns whether SINCE_US, 0 for never, is less than a window ago. */
static bool is_in_window(const struct quota_pool *p, u64 since_us, u64 now_us)
{
	return since_us && now_us - since_us < p->settings.window_us;
}

/* The tokens of the leader before may still be in use. */
static void start_leading(struct quota_pool *p, u64 now_us)
{
	bool has_led = is_in_window(p, p->led_us, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_bucket *b = value;

		b->level = MIN(has_led ? b->level : UINT64_MAX, b->tolerance / START_PART);
		b->level_us = now_us;
		b->promised_us = 0;
	}
	p->leads = true;
	p->has_reserve = false;
}

static void stop_leading(struct quota_pool *p, u64 now_us)
{
	if (p->leads)
		p->led_us = now_us;
	p->leads = false;
}

static void renew_reserves(struct quota_pool *p, u64 now_us)
{
	u64 since_us = MAX(p->role_us, p->reserve_used_us);

	if (p->role != QUOTA_FOLLOWER || now_us - since_us < p->settings.window_us)
		return;
	if (p->has_reserve && !p->reserve_used_us)
		return;
	p->reserve++;
	p->has_reserve = true;
	p->reserve_used_us = 0;
}

void quota_pool_set_role(struct quota_pool *p, enum quota_role role, u64 now_us)
{
	renew_reserves(p, now_us);
	if (role == p->role)
		return;
	p->role = role;
	p->role_us = now_us;
	if (role == QUOTA_LEADER && !p->leads)
		start_leading(p, now_us);
	else if (role != QUOTA_LEADER && role != QUOTA_PAUSED)
		stop_leading(p, now_us);
}

static u64 tolerance_of(const struct quota_pool_settings *s, const struct set_organisation *o)
{
	u64 in_window = o->rate_milli_per_s * s->window_us + o->burst * TOKEN;

	return in_window / PERMILLE * s->overage_permille + s->slack * TOKEN;
}

/* Nobody else has granted tokens of an organisation that is new, unless this leader is, too. */
static u64 first_level(const struct quota_pool *p, const struct quota_bucket *b, u64 now_us)
{
	if (now_us - p->role_us < p->settings.window_us)
		return b->tolerance / START_PART;
	return b->capacity;
}

static struct quota_bucket *find_or_add(struct quota_pool *p, const struct set_organisation *o,
					bool *is_new)
{
	u64 organisation = pmap_hash(o->name);
	struct quota_bucket *b = g_hash_table_lookup(p->buckets, &organisation);

	*is_new = !b;
	if (b)
		return b;
	b = g_new0(struct quota_bucket, 1);
	b->organisation = organisation;
	b->name = g_strdup(o->name);
	g_hash_table_insert(p->buckets, &b->organisation, b);
	return b;
}

/* As much as the bucket allows if none come back, in a window and the part that is summed beside
 * it. */
static u64 window_max(const struct quota_pool_settings *s, const struct quota_bucket *b)
{
	u64 length_us = s->window_us + s->window_us / QUOTA_WINDOW_PARTS;
	double refilled = (double)b->rate_milli_per_s * (double)length_us;

	return (u64)(((double)b->capacity + refilled) / (double)TOKEN) + 1;
}

static void lower_capacity(struct quota_pool *p, struct quota_bucket *b, u64 now_us)
{
	if (!is_in_window(p, b->lowered_us, now_us)) {
		b->cut = 0;
		b->window_max_before = 0;
	}
	b->cut += b->level - MIN(b->level, b->capacity);
	b->level = MIN(b->level, b->capacity);
	b->lowered_us = now_us;
}

/* A limit that is lowered and raised again within a window gets back what it lost, and no more. */
static void raise_capacity(const struct quota_pool *p, struct quota_bucket *b, u64 added,
			   u64 now_us)
{
	if (is_in_window(p, b->lowered_us, now_us)) {
		added = MIN(added, b->cut);
		b->cut -= added;
	}
	b->level += added;
}

static void set_limit(struct quota_pool *p, const struct set_organisation *o, u64 now_us)
{
	bool is_new;
	struct quota_bucket *b = find_or_add(p, o, &is_new);
	u64 old_capacity = b->capacity;
	u64 old_max = b->window_max;

	/* Meanwhile another process may grant what the bucket would get. */
	if (p->leads)
		refill(b, now_us);
	b->is_listed = true;
	b->rate_milli_per_s = o->rate_milli_per_s;
	b->burst = o->burst;
	b->tolerance = tolerance_of(&p->settings, o);
	b->capacity = o->burst * TOKEN + b->tolerance / BUCKET_PART;
	b->window_max = window_max(&p->settings, b);
	if (is_new)
		b->level = first_level(p, b, now_us);
	else if (b->capacity < old_capacity)
		lower_capacity(p, b, now_us);
	else
		raise_capacity(p, b, b->capacity - old_capacity, now_us);
	if (!is_new && b->window_max < old_max)
		b->window_max_before = MAX(b->window_max_before, old_max);
}

static void unlist_all(struct quota_pool *p, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_bucket *b = value;

		if (b->is_listed)
			b->unlisted_us = now_us;
		b->is_listed = false;
	}
}

/* A bucket is kept for a window: an organisation that is added again does not get a full one. */
static void drop_unlisted(struct quota_pool *p, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quota_bucket *b = value;

		if (!b->is_listed && !is_in_window(p, b->unlisted_us, now_us))
			g_hash_table_iter_remove(&iter);
	}
}

void quota_pool_set_limits(struct quota_pool *p, const struct set *set, u32 processes, u64 now_us)
{
	const GPtrArray *all = set ? set->organisations : NULL;

	p->processes = MAX(processes, 1);
	unlist_all(p, now_us);
	for (guint i = 0; all && i < all->len; i++) {
		const struct set_organisation *o = g_ptr_array_index(all, i);

		if (o->rate_milli_per_s || o->burst)
			set_limit(p, o, now_us);
	}
	drop_unlisted(p, now_us);
}

/*
 * While calls are refused, a token for a request that comes again is taken from one that comes for
 * the first time, which is still in time for its target.
 */
static bool may_serve_again(const struct quota_bucket *b, u64 now_us)
{
	return !b->refused_us || now_us >= b->refused_us + CONTENTION_US;
}

/* Takes up to WANTED whole tokens out of *LEVEL; returns how many. */
static u32 take(u64 *level, u32 wanted)
{
	u32 granted = (u32)MIN(*level / TOKEN, (u64)wanted);

	*level -= granted * TOKEN;
	return granted;
}

/*
 * Tells COUNT refused calls when to return, one behind the other, also behind those that were told
 * before. Times beyond a window are not kept: most callers won't wait that long.
 */
static void promise(const struct quota_pool *p, struct quota_bucket *b, struct quota_share *share,
		    u32 count, u64 now_us)
{
	u64 missing = TOKEN - MIN(b->level, TOKEN);
	u64 window_us = p->settings.window_us;
	u64 spacing_us = window_us;
	u64 first_us;

	if (b->rate_milli_per_s)
		spacing_us = MIN(TOKEN / b->rate_milli_per_s + 1, window_us);
	first_us = now_us + window_us;
	if (b->rate_milli_per_s)
		first_us = now_us + MIN(missing / b->rate_milli_per_s + 1, window_us);
	first_us = MAX(first_us, b->promised_us + spacing_us);
	first_us = MIN(first_us, now_us + window_us);
	b->promised_us = MIN(first_us + spacing_us * (count - 1), now_us + window_us);
	share->wait_ms = (u32)((first_us - now_us) / US_PER_MS + 1);
	share->spacing_ms = (u32)(spacing_us / US_PER_MS + 1);
}

static void log_refused(struct quota_bucket *b, const struct quota_share *share, u32 refused,
			u64 now_us)
{
	b->granted += share->granted + share->granted_again;
	b->refused += refused;
	if (now_us < b->logged_us + LOG_INTERVAL_US)
		return;
	if (!b->refused) {
		b->granted = 0;
		b->logged_us = now_us;
		return;
	}
	log_event(LOG_INFO, "quota used up", "organisation", b->name, "refused",
		  log_u64(b->refused), "granted", log_u64(b->granted), "in_us",
		  log_u64(now_us - b->logged_us), "wait_ms", log_u64(share->wait_ms), "rate_per_s",
		  log_u64(b->rate_milli_per_s / MILLI), "burst", log_u64(b->burst), NULL);
	b->logged_us = now_us;
	b->granted = 0;
	b->refused = 0;
}

/*
 * Returns how many tokens the window still allows. Without this, each call of a flood that is
 * refused as not run would let the bucket fill up once more while its token is on its way back.
 */
static u64 window_left(const struct quota_pool *p, struct quota_bucket *b, u64 now_us)
{
	u64 sum = quota_window_sum(&b->window, p->settings.window_us, now_us);
	u64 max = b->window_max;

	if (is_in_window(p, b->lowered_us, now_us))
		max = MAX(max, b->window_max_before);
	return max - MIN(max, sum);
}

/* Grants up to WANTED tokens that the bucket has and the window allows; returns how many. */
static u32 grant(const struct quota_pool *p, struct quota_bucket *b, u32 wanted, u64 now_us)
{
	u32 granted = take(&b->level, (u32)MIN((u64)wanted, window_left(p, b, now_us)));

	quota_window_grant(&b->window, granted);
	return granted;
}

static void grant_as_leader(const struct quota_pool *p, struct quota_bucket *b,
			    const struct quota_want *want, struct quota_share *share, u64 now_us)
{
	u32 refused;

	refill(b, now_us);
	b->level =
		MIN(b->level + MIN((u64)want->returned, b->capacity / TOKEN) * TOKEN, b->capacity);
	quota_window_sum(&b->window, p->settings.window_us, now_us);
	quota_window_return(&b->window, want->returned);
	share->granted = grant(p, b, want->wanted, now_us);
	if (share->granted < want->wanted)
		b->refused_us = now_us;
	share->granted_again = 0;
	if (may_serve_again(b, now_us))
		share->granted_again = grant(p, b, want->wanted_again, now_us);
	refused = want->wanted - share->granted + want->wanted_again - share->granted_again;
	if (refused)
		promise(p, b, share, refused, now_us);
	log_refused(b, share, refused, now_us);
	ctr_add(CTR_QUOTA_DENIED, refused);
}

static u32 take_reserve(struct quota_pool *p, struct quota_bucket *b, u32 wanted, u64 now_us)
{
	u32 granted;

	if (!p->has_reserve)
		return 0;
	if (b->reserve != p->reserve) {
		b->reserve = p->reserve;
		b->reserve_left = b->tolerance / RESERVES_PART / p->processes;
	}
	granted = take(&b->reserve_left, wanted);
	if (granted)
		p->reserve_used_us = now_us;
	ctr_add(CTR_QUOTA_RESERVE, granted);
	return granted;
}

/* B is NULL for an organisation that has no limit, as far as this process knows. */
static void grant_as_other(struct quota_pool *p, struct quota_bucket *b,
			   const struct quota_want *want, struct quota_share *share, u64 now_us)
{
	share->granted = b ? take_reserve(p, b, want->wanted, now_us) : 0;
	share->granted_again = b ? take_reserve(p, b, want->wanted_again, now_us) : 0;
}

static struct quota_bucket *find_limit(const struct quota_pool *p, u64 organisation)
{
	struct quota_bucket *b = g_hash_table_lookup(p->buckets, &organisation);

	return b && b->is_listed ? b : NULL;
}

void quota_pool_request(struct quota_pool *p, const struct quota_request *request,
			struct quota_grant *grant, u64 now_us)
{
	grant->number = request->number;
	grant->is_known = p->role == QUOTA_LEADER;
	for (guint i = 0; i < request->wants->len; i++) {
		const struct quota_want *want =
			&g_array_index(request->wants, struct quota_want, i);
		struct quota_share share = { .organisation = want->organisation,
					     .granted = want->wanted,
					     .granted_again = want->wanted_again };
		struct quota_bucket *b = find_limit(p, want->organisation);

		if (p->role != QUOTA_LEADER)
			grant_as_other(p, b, want, &share, now_us);
		else if (b)
			grant_as_leader(p, b, want, &share, now_us);
		ctr_add(CTR_QUOTA_TOKENS, share.granted + share.granted_again);
		if (want->wanted || want->wanted_again)
			g_array_append_val(grant->shares, share);
	}
}
