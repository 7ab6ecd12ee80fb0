/* The ranks that the configuration gives the upstream beside this node. */
#include "node/home_impl.h"

#include "node/config.h"

#include <string.h>

/* Target of the rank of late calls: they wait at most this long, or until their deadline. */
#define LATE_TARGET_US (1 * US_PER_S)

/*
 * Returns the rank of the same worth, else of the next lower worth, for a call whose rank is
 * declared only by a newer set.
 */
static int nearest_rank(const struct config_service *s, u32 worth)
{
	int found = -1;
	u32 best = 0;

	for (guint i = 0; i < s->res->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		if (found < 0 || (r->worth <= worth && (r->worth > best || best > worth))) {
			found = (int)i;
			best = r->worth;
		}
	}
	return found;
}

int home_find_rank(const struct peer_call *call, const char *method, bool *is_idempotent)
{
	const struct config_service *s;
	int found = -1;

	*is_idempotent = call->is_idempotent;

	config_read_lock();
	s = config_current() ? config_find_service(config_current(), call->service) : NULL;
	for (guint i = 0; s && i < s->res->ranks->len; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		if (strcmp(r->name, call->rank))
			continue;
		found = (int)i;
		*is_idempotent |= res_is_idempotent(r, method);
	}
	if (s && found < 0 && call->target_us)
		found = nearest_rank(s, call->worth);
	config_read_unlock();
	return found;
}

static void set_ranks(struct node *n)
{
	struct home *h = n->home;
	struct admit_rank ranks[ADMIT_RANKS_MAX];
	const struct config_service *s;
	u32 count = 0;

	config_read_lock();
	h->revision = config_current()->revision;
	s = config_find_service(config_current(), n->dir_entry.service);
	for (guint i = 0; s && i < s->res->ranks->len && i < ADMIT_RANKS_MAX; i++) {
		const struct res_rank *r = g_ptr_array_index(s->res->ranks, i);

		ranks[count].worth = r->worth;
		ranks[count].target_us = r->target_ms * US_PER_MS;
		ranks[count].floor_percent = r->floor_percent;
		count++;
	}
	config_read_unlock();
	/* The late rank comes after all declared ranks. */
	h->late_rank = MIN(count, ADMIT_RANKS_MAX - 1);
	ranks[h->late_rank] = (struct admit_rank){ .target_us = LATE_TARGET_US };
	admit_set_ranks(&h->admit, ranks, h->late_rank + 1);
	g_free(h->ranks_service);
	h->ranks_service = g_strdup(n->dir_entry.service);
}

void home_apply_slots(struct node *n)
{
	if (n->home->admit.slots != n->dir_entry.slots)
		admit_set_slots(&n->home->admit, n->dir_entry.slots);
}

void home_configure(struct node *n)
{
	struct home *h = n->home;

	home_apply_slots(n);
	if (h->revision != config_revision() || g_strcmp0(h->ranks_service, n->dir_entry.service)) {
		set_ranks(n);
		home_apply_rate(n);
	}
}
