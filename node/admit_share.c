#include "node/admit_share.h"

#include <string.h>

/* Counts halve in this time: a few times the targets of calls, so that a floor holds over them. */
#define HALF_LIFE_US (2 * US_PER_S)
#define HALVINGS_MAX 64
/* The requirement is a quarter; some more, as it takes time to make up for what was missed. */
#define FLOOR_PERCENT 30
/* So few calls say nothing about how often an organisation is served. */
#define TALLY_MIN 4

void share_init(struct share *s)
{
	memset(s, 0, sizeof(*s));
	for (u32 i = 0; i < LIMIT_RANKS_MAX; i++)
		g_queue_init(&s->ranks[i].waiting);
}

static void halve(struct share_tally *t, u64 now_us)
{
	if (now_us >= t->halved_us + HALVINGS_MAX * HALF_LIFE_US)
		*t = (struct share_tally){ .halved_us = now_us };
	for (; now_us >= t->halved_us + HALF_LIFE_US; t->halved_us += HALF_LIFE_US) {
		t->served /= 2;
		t->refused /= 2;
	}
}

void share_tally_add(struct share_tally *t, u32 served, u32 refused, u64 now_us)
{
	halve(t, now_us);
	t->served += served;
	t->refused += refused;
}

bool share_is_below_floor(const struct share_tally *part, const struct share_tally *all)
{
	double n = part->served + part->refused;

	return n >= TALLY_MIN &&
	       part->served * (all->served + all->refused) * 100 < all->served * n * FLOOR_PERCENT;
}

static struct share_entry *set_of(struct share *s, u32 rank, u64 organisation)
{
	u64 mixed = (organisation + rank) * 0x9e3779b97f4a7c15ULL;

	return s->entries[mixed >> 32 & (SHARE_SETS - 1)];
}

static struct share_entry *find(struct share *s, u32 rank, u64 organisation)
{
	struct share_entry *set = set_of(s, rank, organisation);

	for (u32 i = 0; i < SHARE_WAYS; i++)
		if (set[i].organisation == organisation && set[i].rank == rank)
			return &set[i];
	return NULL;
}

const struct share_entry *share_find(const struct share *s, u32 rank, u64 organisation)
{
	return organisation ? find((struct share *)s, rank, organisation) : NULL;
}

/* Returns the entry without waiting calls that was not used for the longest time. */
static struct share_entry *oldest(struct share_entry *set)
{
	struct share_entry *found = NULL;

	for (u32 i = 0; i < SHARE_WAYS; i++)
		if (!set[i].waiting && (!found || set[i].used < found->used))
			found = &set[i];
	return found;
}

struct share_entry *share_get(struct share *s, u32 rank, u64 organisation)
{
	struct share_entry *e = organisation ? find(s, rank, organisation) : NULL;

	if (!organisation)
		return NULL;
	if (!e) {
		e = oldest(set_of(s, rank, organisation));
		if (!e)
			return NULL;
		*e = (struct share_entry){ .organisation = organisation, .rank = rank };
	}
	e->used = ++s->uses;
	return e;
}

void share_queued(struct share *s, struct share_entry *e, u64 work_us)
{
	struct share_rank *r = &s->ranks[e->rank];

	if (!e->waiting++) {
		e->tag_us = MAX(e->tag_us, r->virtual_us);
		e->link.data = e;
		g_queue_push_tail_link(&r->waiting, &e->link);
	}
	e->waiting_us += work_us;
}

void share_left(struct share *s, struct share_entry *e, u64 work_us)
{
	if (!--e->waiting)
		g_queue_unlink(&s->ranks[e->rank].waiting, &e->link);
	e->waiting_us -= work_us;
}

void share_count(struct share *s, u32 rank, u64 organisation, u32 served, u32 refused, u64 now_us)
{
	struct share_entry *e = share_get(s, rank, organisation);

	if (!e)
		return;
	share_tally_add(&e->tally, served, refused, now_us);
	share_tally_add(&s->ranks[rank].tally, served, refused, now_us);
}

bool share_is_contended(const struct share *s, u32 rank)
{
	return s->ranks[rank].waiting.length > 1;
}

/* Returns the tag of the organisation with waiting calls that was served least. */
static u64 least_tag_us(const struct share_rank *r)
{
	u64 least = UINT64_MAX;

	for (const GList *l = r->waiting.head; l; l = l->next)
		least = MIN(least, ((const struct share_entry *)l->data)->tag_us);
	return least;
}

void share_charge(struct share *s, struct share_entry *e, u64 work_us)
{
	struct share_rank *r = &s->ranks[e->rank];

	r->virtual_us = MAX(r->virtual_us, least_tag_us(r));
	e->tag_us += work_us;
}

void share_correct(struct share *s, u32 rank, u64 organisation, i64 difference_us)
{
	struct share_entry *e = find(s, rank, organisation);

	if (e)
		e->tag_us = (u64)MAX((i64)e->tag_us + difference_us, 0);
}

struct share_turn share_turn(const struct share *s, u32 rank, u64 quantum_us)
{
	const struct share_rank *r = &s->ranks[rank];
	struct share_turn turn = { .rank = r, .last_tag_us = UINT64_MAX };

	if (!share_is_contended(s, rank))
		return turn;
	turn.last_tag_us = least_tag_us(r) + quantum_us;
	for (const GList *l = r->waiting.head; l && !turn.is_floor; l = l->next) {
		const struct share_entry *e = l->data;

		turn.is_floor = share_is_below_floor(&e->tally, &r->tally);
	}
	return turn;
}

bool share_may_start(const struct share_turn *turn, const struct share_entry *e)
{
	if (!e)
		return !turn->is_floor;
	if (turn->is_floor)
		return share_is_below_floor(&e->tally, &turn->rank->tally);
	return e->tag_us <= turn->last_tag_us;
}
