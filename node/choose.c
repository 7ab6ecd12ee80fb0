#include "node/choose_impl.h"

#include <stdlib.h>
#include <string.h>

#define SAMPLES 2 /* in the own zone, and as many elsewhere */
/* Slow VMs sampled in addition to the fast ones, which may all be full. */
#define SLOW_SAMPLES 1
/* Assumed round trips. */
#define SAME_ZONE_RTT_US (200ULL)
#define SAME_REGION_RTT_US (2 * US_PER_MS)
#define OTHER_REGION_RTT_US (50 * US_PER_MS)
/* Entries received this soon after the start belong to upstreams that already ran. */
#define STARTUP_US (5 * US_PER_S)
/* The knee of a service is known if one in this many of its upstreams reports one. */
#define KNEE_REPORT_DIVISOR 3
/* A load report of this age is due for a probe. */
#define PROBE_AGE_US (100 * US_PER_MS)
/* An older report that a rank is refused is ignored. */
#define REFUSED_AGE_US (250 * US_PER_MS)
/* A VM whose calls take at most this many times the typical time is not too slow for a retry. */
#define TOO_SLOW_FACTOR 2
/* How long a retry avoids an upstream that reported that it refuses the rank. */
#define REFUSED_RETRY_US (50 * US_PER_MS)
/* Services that were not called for this long are not probed. */
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
	c->evacuated = NULL;
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
	g_clear_pointer(&c->evacuated, g_hash_table_unref);
}

struct choose_target *choose_find(struct choose *c, const char *node)
{
	return g_hash_table_lookup(c->targets, node);
}

struct choose_service *choose_find_service(struct choose *c, const char *service)
{
	return g_hash_table_lookup(c->services, service);
}

/* Finds or creates a service. */
static struct choose_service *get_service(struct choose *c, const char *name)
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
	t->service = get_service(c, t->entry.service);
	t->service->is_stale = true;
	g_ptr_array_add(t->service->targets, t);
}

static u64 default_rtt_us(const struct choose *c, const struct dir_entry *e)
{
	if (!strcmp(e->node, c->node))
		return 0;
	if (!strcmp(e->zone, c->zone))
		return SAME_ZONE_RTT_US;
	return strcmp(e->region, c->region) ? OTHER_REGION_RTT_US : SAME_REGION_RTT_US;
}

static void forget_load(struct choose_target *t)
{
	t->load_at_us = 0;
	memset(&t->load, 0, sizeof(t->load));
	t->sent_since_load = 0;
}

void choose_link_closed(struct choose_target *t)
{
	forget_load(t);
	if (t->service)
		t->service->is_linked = false;
}

/*
 * Resets what is known of the upstream. It starts cold, unless this node has just started: then
 * the upstream probably ran before.
 */
static void reset_target(struct choose *c, struct choose_target *t, u64 now_us)
{
	forget_load(t);
	t->latency_us = 0;
	t->latency_samples = 0;
	t->failed_permille = 0;
	t->failed_in_row = 0;
	t->ejected_until_us = 0;
	t->ejections = 0;
	t->unreachable_until_us = 0;
	t->ramp_end_us = now_us < c->started_us + STARTUP_US ? 0 : now_us + CHOOSE_RAMP_US;
}

/* Finds or creates the target of E, and stores E in it. */
static struct choose_target *upsert_target(struct choose *c, const struct dir_entry *e)
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

static bool is_evacuated(const struct choose *c, const char *zone)
{
	return c->evacuated && g_hash_table_contains(c->evacuated, zone);
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
	t = upsert_target(c, e);
	t->default_rtt_us = default_rtt_us(c, e);
	t->is_own_zone = !strcmp(e->zone, c->zone) && !strcmp(e->region, c->region);
	t->is_evacuated = is_evacuated(c, e->zone);
	if (e->state != DIR_UP || t->is_evacuated)
		return;
	if (!was_up)
		reset_target(c, t, now_us);
	t->load.is_draining = false;
	join_service(c, t);
}

/* Applies a change of the evacuated zones to T. */
static void update_evacuated(struct choose *c, struct choose_target *t, u64 now_us)
{
	bool was_evacuated = t->is_evacuated;

	t->is_evacuated = is_evacuated(c, t->entry.zone);
	if (t->is_evacuated == was_evacuated || t->entry.state != DIR_UP)
		return;
	if (t->is_evacuated) {
		leave_service(c, t);
		return;
	}
	reset_target(c, t, now_us);
	join_service(c, t);
}

void choose_set_evacuated(struct choose *c, GHashTable *zones, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (c->evacuated == zones)
		return;
	g_clear_pointer(&c->evacuated, g_hash_table_unref);
	c->evacuated = g_hash_table_ref(zones);
	g_hash_table_iter_init(&iter, c->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_evacuated(c, value, now_us);
}

void choose_disable(struct choose *c, const char *node)
{
	struct choose_target *t = choose_find(c, node);

	if (t)
		leave_service(c, t);
}

/* Subset */

u32 choose_build_subset(const struct choose *c, const struct choose_service *s, GPtrArray *out)
{
	u32 own_zone_len;
	g_autoptr(GArray) items =
		g_array_sized_new(FALSE, FALSE, sizeof(struct subset_item), s->targets->len);

	for (guint i = 0; i < s->targets->len; i++) {
		struct choose_target *t = g_ptr_array_index(s->targets, i);
		struct subset_item item = { .node = t->entry.node,
					    .is_own_zone = t->is_own_zone,
					    .arg = t };

		g_array_append_val(items, item);
	}
	own_zone_len = subset_pick(c->node, items);
	g_ptr_array_set_size(out, 0);
	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(out, g_array_index(items, struct subset_item, i).arg);
	return own_zone_len;
}

static void rebuild_subset(const struct choose *c, struct choose_service *s)
{
	s->own_zone_len = choose_build_subset(c, s, s->subset);
	s->is_stale = false;
	s->is_linked = false;
}

/* Returns the service with an up-to-date subset, or NULL. */
static struct choose_service *find_with_subset(struct choose *c, const char *name)
{
	struct choose_service *s = choose_find_service(c, name);

	if (s && s->is_stale)
		rebuild_subset(c, s);
	return s;
}

bool choose_is_in_use(const struct choose_target *t, u64 span_us, u64 now_us)
{
	const struct choose_service *s = t->service;

	if (!s || !s->last_used_us)
		return false;
	if (now_us > s->last_used_us && now_us - s->last_used_us >= span_us)
		return false;
	/* A subset that has to be rebuilt may lack T, and get it back with the next call. */
	return s->is_stale || g_ptr_array_find(s->subset, t, NULL);
}

/* Selection */

static bool is_excluded(const struct choose_target *t, GPtrArray *exclude)
{
	for (guint i = 0; exclude && i < exclude->len; i++)
		if (!strcmp(g_ptr_array_index(exclude, i), t->entry.node))
			return true;
	return false;
}

static void consider(struct choose_selection *sel, struct choose_target *t)
{
	u64 score = choose_score(t, sel->call->worth, sel->now_us);

	if (sel->sampled)
		g_ptr_array_add(sel->sampled, t);
	if (sel->best && score >= sel->best_score)
		return;
	sel->best = t;
	sel->best_score = score;
}

/* Even if the target time has passed, a call may take as long as at a VM near its usual speed. */
static u64 too_slow_us(const struct choose_service *s, const struct choose_call *call)
{
	return MAX(call->max_call_us, TOO_SLOW_FACTOR * s->typical_us);
}

/*
 * Returns whether T may serve the call in time. A retry costs a round trip and bytes, so it is
 * not made elsewhere.
 */
static bool may_serve_in_time(const struct choose_selection *sel, const struct choose_target *t)
{
	const struct choose_call *call = sel->call;
	bool is_recent = t->load_at_us && sel->now_us - t->load_at_us < REFUSED_RETRY_US;

	if (!call->max_call_us)
		return true;
	if (is_recent && call->worth < t->load.lowest_worth)
		return false;
	return choose_current_call_us(t, call->worth) <= sel->too_slow_us;
}

struct pool {
	struct choose_target *targets[SUBSET_MAX];
	u32 n;
};

/* Considers up to COUNT random targets of POOL and removes them from it. */
static void consider_some(struct choose_selection *sel, struct pool *pool, u32 count)
{
	for (u32 i = 0; i < count && pool->n; i++) {
		u32 at = rng_below(sel->rng, pool->n);

		consider(sel, pool->targets[at]);
		pool->targets[at] = pool->targets[--pool->n];
	}
}

/*
 * Samples the usable targets of LIST from FROM up to, but not including, TO. Fast VMs are sampled
 * separately: otherwise the samples may all be slow ones while a fast one is available.
 */
static void sample(struct choose_selection *sel, GPtrArray *list, u32 from, u32 to)
{
	struct pool fast = { 0 };
	struct pool slow = { 0 };

	for (u32 i = from; i < to && fast.n + slow.n < SUBSET_MAX; i++) {
		struct choose_target *t = g_ptr_array_index(list, i);
		struct pool *pool = choose_is_slow(t) ? &slow : &fast;

		if (!choose_is_usable(t, sel->now_us) || is_excluded(t, sel->call->exclude))
			continue;
		if (may_serve_in_time(sel, t))
			pool->targets[pool->n++] = t;
	}
	consider_some(sel, &slow, fast.n ? SLOW_SAMPLES : SAMPLES);
	consider_some(sel, &fast, SAMPLES);
}

static int compare_u64(const void *a, const void *b)
{
	u64 x = *(const u64 *)a;
	u64 y = *(const u64 *)b;

	return x < y ? -1 : x > y;
}

/* Returns 0 if there are no values. */
static u64 median(u64 *values, u32 n)
{
	if (!n)
		return 0;
	qsort(values, n, sizeof(*values), compare_u64);
	return values[n / 2];
}

u64 choose_median_call_us(const struct choose_service *s, u32 worth)
{
	u64 of_rank[SUBSET_MAX] = { 0 };
	u64 of_all[SUBSET_MAX] = { 0 };
	u32 nrank = 0;
	u32 nall = 0;

	for (guint i = 0; i < s->subset->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->subset, i);
		u64 usual = choose_usual_call_us(t, worth);

		if (usual)
			of_rank[nrank++] = usual;
		if (t->load_at_us && t->load.service_us)
			of_all[nall++] = t->load.service_us;
	}
	return nrank ? median(of_rank, nrank) : median(of_all, nall);
}

struct choose_target *choose_select(struct choose_selection *sel, const struct choose_service *s)
{
	sel->too_slow_us = too_slow_us(s, sel->call);
	sample(sel, s->subset, 0, s->own_zone_len);
	sample(sel, s->subset, s->own_zone_len, s->subset->len);
	if (!sel->best && s->targets->len > s->subset->len)
		sample(sel, s->targets, 0, s->targets->len);
	return sel->best;
}

struct choose_target *choose_pick(struct choose *c, const struct choose_call *call, u64 now_us)
{
	struct choose_service *s = find_with_subset(c, call->service);
	struct choose_selection sel = { .rng = &c->rng, .call = call, .now_us = now_us };

	if (!s)
		return NULL;
	s->last_used_us = now_us;
	s->typical_us = choose_median_call_us(s, call->worth);
	return choose_select(&sel, s);
}

bool choose_has_alternative(struct choose *c, const struct choose_call *call,
			    const struct choose_target *t, u64 now_us)
{
	const struct choose_service *s = choose_find_service(c, call->service);

	for (guint i = 0; s && i < s->subset->len; i++) {
		const struct choose_target *other = g_ptr_array_index(s->subset, i);

		if (other == t || choose_is_slow(other) || call->worth < other->load.lowest_worth)
			continue;
		if (choose_is_usable(other, now_us) && !is_excluded(other, call->exclude))
			return true;
	}
	return false;
}

u32 choose_subset_lowest_worth(const GPtrArray *subset, u64 now_us)
{
	u32 lowest = UINT32_MAX;

	for (guint i = 0; i < subset->len; i++) {
		const struct choose_target *t = g_ptr_array_index(subset, i);

		if (!choose_is_usable(t, now_us))
			continue;
		if (!t->load_at_us || now_us - t->load_at_us > REFUSED_AGE_US)
			return 0;
		lowest = MIN(lowest, t->load.lowest_worth);
	}
	return lowest == UINT32_MAX ? 0 : lowest;
}

u32 choose_lowest_worth(struct choose *c, const char *service, u64 now_us)
{
	struct choose_service *s = find_with_subset(c, service);

	return s ? choose_subset_lowest_worth(s->subset, now_us) : 0;
}

/* Returns the time since the load was last reported or probed. */
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

		if (!s->last_used_us || now_us - s->last_used_us > SERVICE_IDLE_US)
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

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	return x < y ? -1 : x > y;
}

u32 choose_median_knee(struct choose *c, const char *service, u32 slots)
{
	struct choose_service *s = choose_find_service(c, service);
	g_autoptr(GArray) knees = g_array_new(FALSE, FALSE, sizeof(u32));
	u32 n = 0;

	for (guint i = 0; s && i < s->targets->len; i++) {
		const struct choose_target *t = g_ptr_array_index(s->targets, i);

		if (t->entry.slots != slots)
			continue;
		n++;
		if (t->load_at_us && t->load.knee)
			g_array_append_val(knees, t->load.knee);
	}
	if (knees->len * KNEE_REPORT_DIVISOR < n || !knees->len)
		return 0;
	g_array_sort(knees, compare_u32);
	return g_array_index(knees, u32, knees->len / 2);
}
