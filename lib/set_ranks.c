/* The ranks that routes and organisations of a set give a service. */
#include "lib/set.h"

#include <string.h>

/* Floor of each rank: its minimum share under any load of ranks with a higher worth. */
#define RANK_FLOOR_PERCENT 20
/* Limit on the sum of a service's floors, so that the rank with the highest worth comes first. */
#define RANK_FLOORS_SUM_PERCENT 40

u32 set_worth_of_priority(u32 priority)
{
	return SET_WORTH_MAX - MIN(priority, (u32)SET_WORTH_MAX - 1);
}

char *set_rank_name_of_priority(u32 priority)
{
	return g_strdup_printf("p%u", priority);
}

static int compare_u32(u32 a, u32 b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

static int compare_targets(const struct set_target *a, const struct set_target *b)
{
	int order = compare_u32(a->is_anonymous, b->is_anonymous);

	if (!order)
		order = compare_u32(a->priority, b->priority);
	return order ? order : compare_u32(a->target_ms, b->target_ms);
}

/* Returns the index of the first target that is not below T. */
static guint find_target(const GArray *targets, const struct set_target *t)
{
	guint from = 0;
	guint to = targets->len;

	while (from < to) {
		guint middle = from + (to - from) / 2;

		if (compare_targets(&g_array_index(targets, struct set_target, middle), t) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static struct set_target *target_at(const GArray *targets, guint at, const struct set_target *t)
{
	struct set_target *found =
		at < targets->len ? &g_array_index(targets, struct set_target, at) : NULL;

	return found && !compare_targets(found, t) ? found : NULL;
}

void set_target_add(GArray *targets, const struct set_target *t)
{
	guint at = find_target(targets, t);
	struct set_target *same = target_at(targets, at, t);
	struct set_target new = *t;

	new.routes = 1;
	if (same)
		same->routes++;
	else
		g_array_insert_val(targets, at, new);
}

bool set_target_remove(GArray *targets, const struct set_target *t)
{
	guint at = find_target(targets, t);
	struct set_target *same = target_at(targets, at, t);

	if (!same)
		return false;
	if (!--same->routes)
		g_array_remove_index(targets, at);
	return true;
}

/* Returns the index of PRIORITY, or of the first one above it. */
static guint find_priority(const struct set_priorities *p, u32 priority, bool *is_found)
{
	guint i = 0;

	while (i < p->counts->len &&
	       g_array_index(p->counts, struct set_priority, i).priority < priority)
		i++;
	*is_found = i < p->counts->len &&
		    g_array_index(p->counts, struct set_priority, i).priority == priority;
	return i;
}

bool set_priorities_add(struct set_priorities *p, bool has_priority, u32 priority)
{
	struct set_priority new = { priority, 1 };
	bool is_found;
	guint at;

	if (!has_priority)
		return !p->without++;
	if (!p->counts)
		p->counts = g_array_new(FALSE, FALSE, sizeof(struct set_priority));
	at = find_priority(p, priority, &is_found);
	if (is_found)
		g_array_index(p->counts, struct set_priority, at).organisations++;
	else
		g_array_insert_val(p->counts, at, new);
	return !is_found;
}

bool set_priorities_remove(struct set_priorities *p, bool has_priority, u32 priority)
{
	bool is_found;
	guint at;

	if (!has_priority)
		return p->without && !--p->without;
	if (!p->counts)
		return false;
	at = find_priority(p, priority, &is_found);
	if (!is_found || --g_array_index(p->counts, struct set_priority, at).organisations)
		return false;
	g_array_remove_index(p->counts, at);
	return true;
}

void set_priorities_copy(struct set_priorities *to, const struct set_priorities *from)
{
	*to = *from;
	to->counts = from->counts ? g_array_copy(from->counts) : NULL;
}

void set_priorities_clear(struct set_priorities *p)
{
	if (p->counts)
		g_array_unref(p->counts);
	memset(p, 0, sizeof(*p));
}

/* Adds a rank, unless the last one has the same worth or there are RES_RANKS_MAX. */
static void add_rank(struct res_service *s, char *name, u32 worth, u32 target_ms)
{
	struct res_rank *last =
		s->ranks->len ? g_ptr_array_index(s->ranks, s->ranks->len - 1) : NULL;
	struct res_rank *r;

	if ((last && last->worth == worth) || s->ranks->len == RES_RANKS_MAX) {
		if (last && last->worth == worth)
			last->target_ms = MIN(last->target_ms, target_ms);
		g_free(name);
		return;
	}
	r = res_rank_new(name);
	r->idempotency = RES_IDEMPOTENT_NEVER; /* each request states whether it may be repeated */
	r->target_ms = target_ms;
	r->worth = worth;
	g_ptr_array_add(s->ranks, r);
}

static void add_priority(struct res_service *s, u32 priority, u32 target_ms)
{
	add_rank(s, set_rank_name_of_priority(priority), set_worth_of_priority(priority),
		 target_ms);
}

/* Returns the shortest target of the routes that need no key, or of those that do; NULL for none.
 */
static const struct set_target *shortest_target(const GArray *targets, bool is_anonymous)
{
	const struct set_target *shortest = NULL;

	for (guint i = 0; i < targets->len; i++) {
		const struct set_target *t = &g_array_index(targets, struct set_target, i);

		if (t->is_anonymous != is_anonymous)
			continue;
		if (!shortest || t->target_ms < shortest->target_ms)
			shortest = t;
	}
	return shortest;
}

static void add_route_ranks(struct res_service *s, const GArray *targets)
{
	for (guint i = 0; i < targets->len; i++) {
		const struct set_target *t = &g_array_index(targets, struct set_target, i);

		add_priority(s, t->priority, t->target_ms);
	}
}

/* Returns the targets of the routes that need a key and those of PRIORITIES, in their order. */
static GArray *merge_targets(const GArray *targets, const struct set_priorities *priorities)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct set_target));
	const struct set_target *shortest = shortest_target(targets, false);

	for (guint i = 0; i < targets->len; i++) {
		const struct set_target *t = &g_array_index(targets, struct set_target, i);

		if (!t->is_anonymous && (priorities->without || !priorities->counts))
			set_target_add(out, t);
	}
	for (guint i = 0; shortest && priorities->counts && i < priorities->counts->len; i++) {
		struct set_target t = {
			.priority =
				g_array_index(priorities->counts, struct set_priority, i).priority,
			.target_ms = shortest->target_ms,
		};

		set_target_add(out, &t);
	}
	return out;
}

static void add_organisation_ranks(struct res_service *s, const GArray *targets,
				   const struct set_priorities *priorities)
{
	const struct set_target *nested = shortest_target(targets, true);
	g_autoptr(GArray) merged = merge_targets(targets, priorities);

	if (nested)
		add_rank(s, g_strdup(SET_NESTED_RANK), SET_NESTED_WORTH, nested->target_ms);
	add_route_ranks(s, merged);
}

/* Without organisations access makes no difference, so the targets are ordered anew. */
static GArray *without_access(const GArray *targets)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct set_target));

	for (guint i = 0; i < targets->len; i++) {
		struct set_target t = g_array_index(targets, struct set_target, i);

		t.is_anonymous = false;
		set_target_add(out, &t);
	}
	return out;
}

void set_make_ranks(struct res_service *s, const GArray *targets,
		    const struct set_priorities *priorities)
{
	g_ptr_array_set_size(s->ranks, 0);
	if (priorities && priorities->is_used) {
		add_organisation_ranks(s, targets, priorities);
	} else {
		g_autoptr(GArray) all = without_access(targets);

		add_route_ranks(s, all);
	}
	for (guint i = 0; i < s->ranks->len; i++)
		((struct res_rank *)g_ptr_array_index(s->ranks, i))->floor_percent =
			MIN(RANK_FLOOR_PERCENT, RANK_FLOORS_SUM_PERCENT / s->ranks->len);
}
