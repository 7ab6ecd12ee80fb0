#include "node/trial_order.h"

#include <string.h>
#include <xxhash.h>

void trial_order_init(struct trial_order *o)
{
	o->candidates = g_ptr_array_new_with_free_func(g_free);
}

void trial_order_clear(struct trial_order *o)
{
	g_ptr_array_unref(o->candidates);
}

static struct trial_candidate *candidate_at(const struct trial_order *o, guint i)
{
	return g_ptr_array_index(o->candidates, i);
}

static struct trial_candidate *find(const struct trial_order *o, const struct endpoint *at)
{
	for (guint i = 0; i < o->candidates->len; i++)
		if (endpoint_equal(&candidate_at(o, i)->at, at))
			return candidate_at(o, i);
	return NULL;
}

struct trial_candidate *trial_order_add(struct trial_order *o, const struct endpoint *at,
					const char *node)
{
	u64 self = XXH64(node, strlen(node), 0);
	struct trial_candidate *c = find(o, at);

	if (c || o->candidates->len >= TRIAL_CANDIDATES_MAX)
		return c;
	c = g_new0(struct trial_candidate, 1);
	c->at = *at;
	c->distance = UNKNOWN_DISTANCE;
	c->order = XXH64(at->host, strlen(at->host), self + at->port);
	g_ptr_array_add(o->candidates, c);
	return c;
}

void trial_order_unmark_seeds(struct trial_order *o)
{
	for (guint i = 0; i < o->candidates->len; i++)
		candidate_at(o, i)->is_seed = false;
}

void trial_order_unmark_members(struct trial_order *o)
{
	for (guint i = 0; i < o->candidates->len; i++)
		candidate_at(o, i)->is_member = false;
}

void trial_order_remove_former(struct trial_order *o, const struct trial_candidate *used,
			       const struct trial_candidate *also_used)
{
	for (guint i = o->candidates->len; i > 0; i--) {
		const struct trial_candidate *c = candidate_at(o, i - 1);

		if (!c->is_seed && !c->is_member && c != used && c != also_used)
			g_ptr_array_remove_index(o->candidates, i - 1);
	}
}

void trial_order_restart(struct trial_order *o)
{
	for (guint i = 0; i < o->candidates->len; i++)
		candidate_at(o, i)->was_tried = false;
}

void trial_order_reset(struct trial_order *o)
{
	trial_order_restart(o);
	for (guint i = 0; i < o->candidates->len; i++)
		candidate_at(o, i)->retry_at_us = 0;
}

static bool is_wanted(const struct trial_candidate *c, const struct trial_candidate *main,
		      bool has_fresh)
{
	if (c == main)
		return false;
	return !has_fresh || c->distance == UNKNOWN_DISTANCE || c->distance < main->distance;
}

static bool is_preferred(const struct trial_candidate *a, const struct trial_candidate *b)
{
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return a->order < b->order;
}

/* Returns whether each candidate that may be tried was tried in this search. */
static bool is_search_over(const struct trial_order *o, const struct trial_candidate *main,
			   bool has_fresh)
{
	for (guint i = 0; i < o->candidates->len; i++) {
		const struct trial_candidate *c = candidate_at(o, i);

		if (is_wanted(c, main, has_fresh) && !c->was_tried)
			return false;
	}
	return true;
}

struct trial_candidate *trial_order_next(struct trial_order *o, const struct trial_candidate *main,
					 bool has_fresh, u64 now_us)
{
	struct trial_candidate *best = NULL;

	if (is_search_over(o, main, has_fresh))
		trial_order_restart(o);
	for (guint i = 0; i < o->candidates->len; i++) {
		struct trial_candidate *c = candidate_at(o, i);

		if (c->was_tried || !is_wanted(c, main, has_fresh) ||
		    (has_fresh ? c->nearer_retry_at_us : c->retry_at_us) > now_us)
			continue;
		if (!best || is_preferred(c, best))
			best = c;
	}
	if (best)
		best->was_tried = true;
	return best;
}
