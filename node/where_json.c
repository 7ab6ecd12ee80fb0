/* The answer of where as JSON. */
#include "node/where.h"

#include "node/config.h"

#include <string.h>

/* Candidates in one answer; those that the call would rather get come first. */
#define CANDIDATES_MAX 256

static const char *state_of(const struct choose_target *t, u32 worth, u64 now_us)
{
	if (t->is_evacuated)
		return "evacuated";
	if (t->entry.state != DIR_UP)
		return dir_state_name(t->entry.state);
	if (!t->service)
		return "disabled";
	if (t->load.is_draining)
		return "draining";
	if (t->unreachable_until_us > now_us)
		return "unreachable";
	if (t->ejected_until_us > now_us)
		return "ejected";
	if (t->load_at_us && worth < t->load.lowest_worth)
		return "limited";
	return t->ramp_end_us > now_us ? "cold" : "up";
}

struct order {
	const struct choose_target *chosen;
	u64 now_us;
};

/* The chosen one first, then usable ones of the subset, usable ones and others, each by score. */
static u32 class_of(const struct choose_candidate *c, const struct order *order)
{
	if (c->target == order->chosen)
		return 0;
	if (!choose_is_usable(c->target, order->now_us))
		return 3;
	return c->is_in_subset ? 1 : 2;
}

static gint compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct choose_candidate *x = a;
	const struct choose_candidate *y = b;
	u32 class_x = class_of(x, arg);
	u32 class_y = class_of(y, arg);

	if (class_x != class_y)
		return class_x < class_y ? -1 : 1;
	if (x->score_us != y->score_us)
		return x->score_us < y->score_us ? -1 : 1;
	return strcmp(x->target->entry.node, y->target->entry.node);
}

static json_t *load_json(const struct choose_target *t, u64 now_us)
{
	if (!t->load_at_us)
		return json_null();
	return json_pack("{s:i, s:i, s:i, s:i, s:I}", "running", (int)t->load.running, "queued",
			 (int)t->load.queued, "limit", (int)t->load.limit, "slownessPercent",
			 (int)t->load.slowness_percent, "ageUs",
			 (json_int_t)(now_us - MIN(now_us, t->load_at_us)));
}

static json_t *candidate_json(const struct where_answer *a, const struct choose_candidate *c,
			      u32 order)
{
	const struct choose_target *t = c->target;
	bool is_usable = choose_is_usable(t, a->now_us);

	return json_pack("{s:s, s:s, s:s, s:o, s:i, s:o, s:o, s:b, s:b, s:b}", "node",
			 t->entry.node, "zone", t->entry.zone, "state",
			 state_of(t, a->call.worth, a->now_us), "load", load_json(t, a->now_us),
			 "inFlight", (int)t->in_flight, "scoreUs",
			 is_usable ? json_integer((json_int_t)c->score_us) : json_null(), "order",
			 is_usable ? json_integer(order) : json_null(), "isInSubset",
			 c->is_in_subset, "isCompared", c->is_sampled, "isChosen", t == a->chosen);
}

static json_t *candidates_json(const struct where_answer *a)
{
	struct order order = { .chosen = a->chosen, .now_us = a->now_us };
	json_t *list = json_array();

	g_array_sort_with_data(a->candidates, compare, &order);
	for (guint i = 0; i < MIN(a->candidates->len, CANDIDATES_MAX); i++) {
		const struct choose_candidate *c =
			&g_array_index(a->candidates, struct choose_candidate, i);

		json_array_append_new(list, candidate_json(a, c, i + 1));
	}
	return list;
}

static const char *describe(enum ctr reason)
{
	const char *text = route_describe(reason);

	if (text)
		return text;
	switch (reason) {
	case CTR_CALLS:
		return "";
	case CTR_STOPPING:
		return "the node stops, and the call could not end in time";
	case CTR_DEADLINE:
		return "the deadline passed";
	case CTR_SHED_AT_SOURCE:
		return "all upstreams refuse the rank, so most of its calls are refused here";
	case CTR_NO_UPSTREAM:
		return "this node knows no upstream that may be chosen; with the first call of a "
		       "service it asks control for them";
	default:
		return "refused";
	}
}

static const char *quota_text(const struct where_answer *a)
{
	if (!a->call.organisation)
		return NULL;
	return a->route.needs_token ? "asked at the leader when the call comes" : "no limit";
}

/* Returns host and prefix in one text; the key has a line feed between them. */
static char *route_text(const struct where_answer *a)
{
	const char *key = a->route.route_key;
	size_t host_len = key ? strcspn(key, "\n") : 0;

	if (!key || !key[host_len])
		return NULL;
	return g_strdup_printf("%.*s%s", (int)host_len, key, key + host_len + 1);
}

json_t *where_json(const struct node *n, const struct where_answer *a)
{
	g_autofree char *route = route_text(a);
	bool is_sent = a->reason == CTR_CALLS;
	guint listed = MIN(a->candidates->len, CANDIDATES_MAX);
	json_t *obj = json_pack("{s:s, s:s, s:I, s:b}", "node", n->self.name, "zone", n->self.zone,
				"revision", (json_int_t)config_revision(), "isCurrent",
				watch_is_current(n));
	json_t *decision =
		json_pack("{s:s?, s:s?, s:s?, s:s?, s:s?, s:s, s:s, s:s, s:i, s:s?}", "route",
			  route, "service", a->call.service, "rank", a->call.rank, "organisation",
			  a->call.organisation, "quota", quota_text(a), "verdict",
			  is_sent ? "send" : "refuse", "reason", is_sent ? "" : ctr_name(a->reason),
			  "text", describe(a->reason), "status", is_sent ? 0 : (int)a->status,
			  "chosen", a->chosen ? a->chosen->entry.node : NULL);

	json_object_update(obj, decision);
	json_decref(decision);
	json_object_set_new(obj, "candidates", candidates_json(a));
	json_object_set_new(obj, "omitted", json_integer(a->candidates->len - listed));
	return obj;
}
