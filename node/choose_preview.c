/* What choose_pick would select, without the changes that a call makes. */
#include "node/choose_impl.h"

#include <string.h>

/* Returns a copy of S with an up-to-date subset, which the caller must unref. S stays as it is. */
static struct choose_service view_of(const struct choose *c, const struct choose_service *s)
{
	struct choose_service view = *s;

	view.subset = s->is_stale ? g_ptr_array_new() : g_ptr_array_ref(s->subset);
	if (s->is_stale)
		view.own_zone_len = choose_build_subset(c, s, view.subset);
	return view;
}

/* Adds all upstreams of the service, also those that may not be chosen. */
static void list_candidates(struct choose *c, const struct choose_selection *sel,
			    const struct choose_service *view, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct choose_target *t = value;
		struct choose_candidate candidate = { .target = t };

		if (strcmp(t->entry.service, sel->call->service))
			continue;
		candidate.score_us = choose_score(t, sel->call->worth, sel->now_us);
		candidate.is_in_subset = view && g_ptr_array_find(view->subset, t, NULL);
		candidate.is_sampled = g_ptr_array_find(sel->sampled, t, NULL);
		g_array_append_val(out, candidate);
	}
}

struct choose_target *choose_preview(struct choose *c, const struct choose_call *call,
				     struct rng *rng, u64 now_us, GArray *candidates)
{
	struct choose_service *s = choose_find_service(c, call->service);
	g_autoptr(GPtrArray) sampled = g_ptr_array_new();
	struct choose_selection sel = {
		.rng = rng, .sampled = sampled, .call = call, .now_us = now_us
	};
	struct choose_service view;
	u64 typical_us;

	if (!s) {
		list_candidates(c, &sel, NULL, candidates);
		return NULL;
	}
	view = view_of(c, s);
	typical_us = s->typical_us;
	/* choose_score reads it there; it is put back below. */
	s->typical_us = view.typical_us = choose_median_call_us(&view, call->worth);
	choose_select(&sel, &view);
	list_candidates(c, &sel, &view, candidates);
	s->typical_us = typical_us;
	g_ptr_array_unref(view.subset);
	return sel.best;
}

u32 choose_preview_lowest_worth(struct choose *c, const char *service, u64 now_us)
{
	const struct choose_service *s = choose_find_service(c, service);
	struct choose_service view;
	u32 lowest;

	if (!s)
		return 0;
	view = view_of(c, s);
	lowest = choose_subset_lowest_worth(view.subset, now_us);
	g_ptr_array_unref(view.subset);
	return lowest;
}
