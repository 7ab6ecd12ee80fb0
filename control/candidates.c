#include "control/candidates.h"

#include <string.h>

static bool offer(struct candidate_list *l, struct candidate candidate)
{
	u32 at = l->len;

	while (at && l->best[at - 1].weight < candidate.weight)
		at--;
	/* If the list is partial, an upstream that isn't in it may have a higher weight. */
	if (at == CANDIDATES_MAX || (at == l->len && l->is_partial)) {
		l->is_partial = true;
		return false;
	}
	if (l->len == CANDIDATES_MAX) {
		l->len--;
		l->is_partial = true;
	}
	memmove(&l->best[at + 1], &l->best[at], (l->len - at) * sizeof(candidate));
	l->best[at] = candidate;
	l->len++;
	return true;
}

bool candidates_offer(struct candidates *c, bool is_own_zone, struct candidate candidate)
{
	return offer(is_own_zone ? &c->own_zone : &c->others, candidate);
}

static bool remove_from(struct candidate_list *l, u64 weight)
{
	for (u32 i = 0; i < l->len; i++) {
		if (l->best[i].weight != weight)
			continue;
		l->len--;
		memmove(&l->best[i], &l->best[i + 1], (l->len - i) * sizeof(l->best[i]));
		return true;
	}
	return false;
}

bool candidates_remove(struct candidates *c, u64 weight)
{
	return remove_from(&c->own_zone, weight) || remove_from(&c->others, weight);
}

static bool is_short(const struct candidate_list *l)
{
	return l->is_partial && l->len < SUBSET_MAX;
}

bool candidates_are_short(const struct candidates *c)
{
	return is_short(&c->own_zone) || is_short(&c->others);
}

u32 candidates_pick(const struct candidates *c, struct candidate *out)
{
	u32 own = subset_own_share(c->own_zone.len, c->others.len);
	u32 others = MIN(c->others.len, SUBSET_MAX - own);

	memcpy(out, c->own_zone.best, own * sizeof(*out));
	memcpy(out + own, c->others.best, others * sizeof(*out));
	return own + others;
}
