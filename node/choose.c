#include "node/choose.h"

#include <stdlib.h>
#include <string.h>

#define SAMPLES 2 /* in the own zone, and as many elsewhere */
/* Of the slow VMs, beside the samples of the fast ones: all of these may be full. */
#define SLOW_SAMPLES 1
#define ZONE_US (200ULL)
#define REGION_US (2 * US_PER_MS)
#define WORLD_US (50 * US_PER_MS)
/* Entries that come so soon after the start are of upstreams that were there before. */
#define FIRST_US (5 * US_PER_S)
/* One in so many upstreams must show a knee before it is taken for that of the service. */
#define TOLD_PART 3
#define PROBE_AGE_US (100 * US_PER_MS)
/* An older word that a rank is refused counts no more. */
#define REFUSED_AGE_US (250 * US_PER_MS)
/* Where calls take no more than so many times the typical time, a VM is not too slow. */
#define TOO_SLOW_TIMES 2
/* For a further try a home's word that it refuses a rank holds so long. */
#define REFUSED_NEWS_US (50 * US_PER_MS)
/* Services without a call for this time are not probed. */
#define SERVICE_IDLE_US (10 * US_PER_S)

static void target_free(gpointer p)
{
	struct choose_target *t = p;

	dir_entry_clear(&t->entry);
	g_free(t);
}

static void service_free(gpointer p)
{
	struct choose_service *s = p;

	g_ptr_array_unref(s->targets);
	g_ptr_array_unref(s->subset);
	g_free(s->name);
	g_free(s);
}

void choose_init(struct choose *c, const char *node, const char *zone, const char *region, u64 seed,
		 u64 now_us)
{
	c->node = g_strdup(node);
	c->zone = g_strdup(zone);
	c->region = g_strdup(region);
	c->started_us = now_us;
	c->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	c->rng.state = seed;
}

void choose_clear(struct choose *c)
{
	g_free(c->node);
	g_free(c->zone);
	g_free(c->region);
	g_hash_table_unref(c->services);
	g_hash_table_unref(c->targets);
}

struct choose_target *choose_find(struct choose *c, const char *node)
{
	return g_hash_table_lookup(c->targets, node);
}

struct choose_service *choose_find_service(struct choose *c, const char *service)
{
	return g_hash_table_lookup(c->services, service);
}

static struct choose_service *service_of(struct choose *c, const char *name)
{
	struct choose_service *s = choose_find_service(c, name);

	if (s)
		return s;
	s = g_new0(struct choose_service, 1);
	s->name = g_strdup(name);
	s->targets = g_ptr_array_new();
	s->subset = g_ptr_array_new();
	g_hash_table_insert(c->services, s->name, s);
	return s;
}

static void leave_service(struct choose *c, struct choose_target *t)
{
	struct choose_service *s = t->service;

	if (!s)
		return;
	t->service = NULL;
	g_ptr_array_remove_fast(s->targets, t);
	g_ptr_array_remove(s->subset, t);
	s->is_stale = true;
	if (!s->targets->len)
		g_hash_table_remove(c->services, s->name);
}

static void join_service(struct choose *c, struct choose_target *t)
{
	t->service = service_of(c, t->entry.service);
	t->service->is_stale = true;
	g_ptr_array_add(t->service->targets, t);
}

static u64 default_rtt_us(const struct choose *c, const struct dir_entry *e)
{
	if (!strcmp(e->node, c->node))
		return 0;
	if (!strcmp(e->zone, c->zone))
		return ZONE_US;
	return strcmp(e->region, c->region) ? WORLD_US : REGION_US;
}

/* What was known of the upstream is dropped, and it is cold unless it ran before this node. */
static void forget(struct choose *c, struct choose_target *t, u64 now_us)
{
	t->load_at_us = 0;
	memset(&t->load, 0, sizeof(t->load));
	t->sent_since_load = 0;
	t->latency_us = 0;
	t->answers = 0;
	t->failed_permille = 0;
	t->failed_in_row = 0;
	t->ejected_until_us = 0;
	t->ejections = 0;
	t->unreachable_until_us = 0;
	t->ramp_end_us = now_us < c->started_us + FIRST_US ? 0 : now_us + CHOOSE_RAMP_US;
}

static struct choose_target *target_of(struct choose *c, const struct dir_entry *e)
{
	struct choose_target *t = choose_find(c, e->node);

	if (t) {
		g_hash_table_steal(c->targets, e->node);
		dir_entry_clear(&t->entry);
	} else {
		t = g_new0(struct choose_target, 1);
	}
	dir_entry_copy(&t->entry, e);
	g_hash_table_insert(c->targets, t->entry.node, t);
	return t;
}

void choose_set_entry(struct choose *c, const struct dir_entry *e, u64 now_us)
{
	struct choose_target *t = choose_find(c, e->node);
	bool was_up = t && t->service && t->entry.incarnation == e->incarnation &&
		      !strcmp(t->entry.service, e->service);

	if (t && dir_entry_is_newer(&t->entry, e))
		return;
	if (!t && e->state == DIR_GONE)
		return;
	if (t)
		leave_service(c, t);
	t = target_of(c, e);
	t->default_rtt_us = default_rtt_us(c, e);
	t->is_own_zone = !strcmp(e->zone, c->zone) && !strcmp(e->region, c->region);
	if (e->state != DIR_UP)
		return;
	if (!was_up)
		forget(c, t, now_us);
	t->load.is_draining = false;
	join_service(c, t);
}

void choose_disable(struct choose *c, const char *node)
{
	struct choose_target *t = choose_find(c, node);

	if (t)
		leave_service(c, t);
}

/* Subset */

static void make_subset(const struct choose *c, struct choose_service *s)
{
	g_autoptr(GArray) items =
		g_array_sized_new(FALSE, FALSE, sizeof(struct subset_item), s->targets->len);

	for (guint i = 0; i < s->targets->len; i++) {
		struct choose_target *t = g_ptr_array_index(s->targets, i);
		struct subset_item item = { .node = t->entry.node,
					    .is_own_zone = t->is_own_zone,
					    .arg = t };

		g_array_append_val(items, item);
	}
	s->own_zone_len = subset_pick(c->node, items);
	g_ptr_array_set_size(s->subset, 0);
	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(s->subset, g_array_index(items, struct subset_item, i).arg);
	s->is_stale = false;
	s->is_linked = false;
}

static struct choose_service *ready_service(struct choose *c, const char *name)
{
	struct choose_service *s = choose_find_service(c, name);

	if (s && s->is_stale)
		make_subset(c, s);
	return s;
}

/* Choice */

static bool is_excluded(const struct choose_target *t, GPtrArray *exclude)
{
	for (guint i = 0; exclude && i < exclude->len; i++)
		if (!strcmp(g_ptr_array_index(exclude, i), t->entry.node))
			return true;
	return false;
}

struct choice {
	struct choose *choose;
	const struct choose_call *call;
	u64 too_slow_us; /* upstreams that tell a longer time are passed over */
	u64 now_us;
	struct choose_target *best;
	u64 best_score;
};

static void consider(struct choice *ch, struct choose_target *t)
{
	u64 score = choose_score(t, ch->call->worth, ch->now_us);

	if (ch->best && score >= ch->best_score)
		return;
	ch->best = t;
	ch->best_score = score;
}

/* A call whose target has passed may take as long as it does at a VM near its usual speed. */
static u64 too_slow_us(const struct choose_service *s, const struct choose_call *call)
{
	return MAX(call->max_call_us, TOO_SLOW_TIMES * s->typical_us);
}

/* A further try costs a round trip and bytes, so it is made only where it may be served in time. */
static bool is_worth_a_try(const struct choice *ch, const struct choose_target *t)
{
	const struct choose_call *call = ch->call;
	bool is_news = t->load_at_us && ch->now_us - t->load_at_us < REFUSED_NEWS_US;

	if (!call->max_call_us)
		return true;
	if (is_news && call->worth < t->load.lowest_worth)
		return false;
	return choose_current_call_us(t, call->worth) <= ch->too_slow_us;
}

struct pool {
	struct choose_target *targets[SUBSET_MAX];
	u32 n;
};

/* Considers COUNT of POOL, each at most once. */
static void consider_some(struct choice *ch, struct pool *pool, u32 count)
{
	for (u32 i = 0; i < count && pool->n; i++) {
		u32 at = rng_below(&ch->choose->rng, pool->n);

		consider(ch, pool->targets[at]);
		pool->targets[at] = pool->targets[--pool->n];
	}
}

/*
 * Considers SAMPLES of those in LIST between FROM and TO that can be used. The fast VMs are
 * sampled by themselves: while there is one, samples of slow ones alone must not hide it.
 */
static void sample(struct choice *ch, GPtrArray *list, u32 from, u32 to)
{
	struct pool fast = { 0 };
	struct pool slow = { 0 };

	for (u32 i = from; i < to && fast.n + slow.n < SUBSET_MAX; i++) {
		struct choose_target *t = g_ptr_array_index(list, i);
		struct pool *pool = choose_is_slow(t) ? &slow : &fast;

		if (!choose_is_usable(t, ch->now_us) || is_excluded(t, ch->call->exclude))
			continue;
		if (is_worth_a_try(ch, t))
			pool->targets[pool->n++] = t;
	}
	consider_some(ch, &slow, fast.n ? SLOW_SAMPLES : SAMPLES);
	consider_some(ch, &fast, SAMPLES);
}

static int by_time(const void *a, const void *b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x < y ? -1 : x > y;
}

/* 0 of no values. */
static u64 median(u64 *values, u32 n)
{
	if (!n)
		return 0;
	qsort(values, n, sizeof(*values), by_time);
	return values[n / 2];
}

/* The median time of a call of WORTH that upstreams in use tell; before any told one, of all. */
static u64 typical_us(const struct choose_service *s, u32 worth)
{
	u64 of_rank[SUBSET_MAX] = { 0 };
	u64 of_all[SUBSET_MAX] = { 0 };
	u32 nrank = 0;
	u32 nall = 0;

	for (guint i = 0; i < s->subset->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->subset, i);
		u64 work = choose_usual_call_us(t, worth);

		if (work)
			of_rank[nrank++] = work;
		if (t->load_at_us && t->load.service_us)
			of_all[nall++] = t->load.service_us;
	}
	return nrank ? median(of_rank, nrank) : median(of_all, nall);
}

struct choose_target *choose_pick(struct choose *c, const struct choose_call *call, u64 now_us)
{
	struct choose_service *s = ready_service(c, call->service);
	struct choice ch = { .choose = c, .call = call, .now_us = now_us };

	if (!s)
		return NULL;
	s->used_us = now_us;
	s->typical_us = typical_us(s, call->worth);
	ch.too_slow_us = too_slow_us(s, call);
	sample(&ch, s->subset, 0, s->own_zone_len);
	sample(&ch, s->subset, s->own_zone_len, s->subset->len);
	if (!ch.best && s->targets->len > s->subset->len)
		sample(&ch, s->targets, 0, s->targets->len);
	return ch.best;
}

bool choose_has_alternative(struct choose *c, const struct choose_call *call,
			    const struct choose_target *t, u64 now_us)
{
	const struct choose_service *s = choose_find_service(c, call->service);

	for (guint i = 0; s && i < s->subset->len; i++) {
		const struct choose_target *o = g_ptr_array_index(s->subset, i);

		if (o == t || choose_is_slow(o) || call->worth < o->load.lowest_worth)
			continue;
		if (choose_is_usable(o, now_us) && !is_excluded(o, call->exclude))
			return true;
	}
	return false;
}

u32 choose_lowest_worth(struct choose *c, const char *service, u64 now_us)
{
	struct choose_service *s = ready_service(c, service);
	u32 lowest = UINT32_MAX;

	for (guint i = 0; s && i < s->subset->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->subset, i);

		if (!choose_is_usable(t, now_us))
			continue;
		if (!t->load_at_us || now_us - t->load_at_us > REFUSED_AGE_US)
			return 0;
		lowest = MIN(lowest, t->load.lowest_worth);
	}
	return lowest == UINT32_MAX ? 0 : lowest;
}

/* Since the load was told or asked for. */
static u64 load_age_us(const struct choose_target *t, u64 now_us)
{
	u64 at = MAX(t->load_at_us, t->probed_us);

	return at ? now_us - MIN(at, now_us) : UINT64_MAX;
}

struct choose_target *choose_probe_target(struct choose *c, u64 now_us)
{
	struct choose_target *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct choose_service *s = value;

		if (!s->used_us || now_us - s->used_us > SERVICE_IDLE_US)
			continue;
		for (guint i = 0; i < s->subset->len; i++) {
			struct choose_target *t = g_ptr_array_index(s->subset, i);

			if (t->unreachable_until_us > now_us || !t->default_rtt_us)
				continue;
			if (load_age_us(t, now_us) < PROBE_AGE_US)
				continue;
			if (!oldest || load_age_us(t, now_us) > load_age_us(oldest, now_us))
				oldest = t;
		}
	}
	return oldest;
}

static gint by_number(gconstpointer a, gconstpointer b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	return x < y ? -1 : x > y;
}

u32 choose_median_knee(struct choose *c, const char *service, u32 slots)
{
	struct choose_service *s = choose_find_service(c, service);
	g_autoptr(GArray) told = g_array_new(FALSE, FALSE, sizeof(u32));
	u32 n = 0;

	for (guint i = 0; s && i < s->targets->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->targets, i);

		if (t->entry.slots != slots)
			continue;
		n++;
		if (t->load_at_us && t->load.knee)
			g_array_append_val(told, t->load.knee);
	}
	if (told->len * TOLD_PART < n || !told->len)
		return 0;
	g_array_sort(told, by_number);
	return g_array_index(told, u32, told->len / 2);
}
