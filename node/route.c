#include "node/route.h"

#include "lib/pmap.h"
#include "node/access.h"
#include "node/config.h"

#include <string.h>

/* Returns the target time that remains to a request of AGE_MS. */
static u64 remaining_target_us(const struct config_route *r, u64 age_ms)
{
	return MAX(r->target_ms - MIN(age_ms, r->target_ms), 1) * US_PER_MS;
}

/* A question names the organisation instead of having its key. */
static enum access_key find_named(const struct config *config, const char *name,
				  const struct config_organisation **organisation)
{
	*organisation = name ? config_find_organisation(config, pmap_hash(name)) : NULL;
	if (*organisation && strcmp((*organisation)->name, name))
		*organisation = NULL;
	if (!name)
		return ACCESS_KEY_NONE;
	return *organisation ? ACCESS_KEY_KNOWN : ACCESS_KEY_UNKNOWN;
}

/* Reads the call's key. Sets *ORGANISATION to the one that has it, else to NULL. */
static enum access_key find_key(const struct node *n, const struct config *config,
				const struct route_request *c,
				const struct config_organisation **organisation)
{
	const char *key;

	if (c->is_question)
		return find_named(config, c->organisation, organisation);
	*organisation = NULL;
	if (n->dialect->key(c->call->msg, &key))
		return ACCESS_KEY_UNKNOWN;
	if (!key)
		return ACCESS_KEY_NONE;
	*organisation = config_find_organisation_by_key(config, key);
	return *organisation ? ACCESS_KEY_KNOWN : ACCESS_KEY_UNKNOWN;
}

static void set_priority(struct entry_call *call, u32 priority)
{
	g_free(call->rank);
	call->rank = set_rank_name_of_priority(priority);
	call->worth = set_worth_of_priority(priority);
}

static void set_nested(struct entry_call *call)
{
	g_free(call->rank);
	call->rank = g_strdup(SET_NESTED_RANK);
	call->worth = SET_NESTED_WORTH;
}

static bool has_limit(const struct config_organisation *organisation)
{
	return organisation->rate_milli_per_s || organisation->burst;
}

/* Finds out whose call it is, and whether it may run: returns CTR_CALLS if so. */
static enum ctr apply_key(const struct node *n, const struct config *config,
			  const struct config_route *r, struct route_request *c)
{
	struct entry_call *call = c->call;
	const struct config_organisation *organisation;
	struct access_call access = {
		.key = find_key(n, config, c, &organisation),
		.is_anonymous = r->is_anonymous,
		.confirmed_us = watch_confirmed_us(n),
		.limit_us = n->settings->node.key_confirmation_ms * US_PER_MS,
		.now_us = loop_clock_us(),
	};
	enum ctr result = access_decide(&access);

	n->dialect->set_organisation(call->msg, organisation ? organisation->name : NULL);
	if (result != CTR_CALLS)
		return result;
	if (!organisation) {
		set_nested(call);
		return CTR_CALLS;
	}
	call->organisation = g_strdup(organisation->name);
	call->organisation_hash = organisation->name_hash;
	c->needs_token = has_limit(organisation);
	if (organisation->has_priority)
		set_priority(call, organisation->priority);
	return CTR_CALLS;
}

static enum ctr apply_route(const struct node *n, const struct config *config,
			    struct config_route *r, struct route_request *c)
{
	struct entry_call *call = c->call;
	u64 now = loop_clock_us();
	u64 remaining_us = call->deadline_us > now ? call->deadline_us - now : 0;
	u64 age = age_ms(&r->age, remaining_us / US_PER_MS);

	c->is_again = age_is_retry(&r->age, remaining_us / US_PER_MS, age);
	call->service = g_strdup(config_route_pick_service(r, c->rng));
	call->rank = set_rank_name_of_priority(r->priority);
	call->route_hash = pmap_hash(r->key);
	call->is_idempotent = r->is_idempotent;
	call->worth = set_worth_of_priority(r->priority);
	call->target_us = remaining_target_us(r, age);
	call->attempts = r->attempts;
	call->deadline_us = MIN(call->deadline_us, now + r->timeout_ms * US_PER_MS);
	return config_needs_key(config) ? apply_key(n, config, r, c) : CTR_CALLS;
}

static enum ctr apply_rank(const struct config *config, const char *host, struct entry_call *call)
{
	const struct config_service *s = config_find_service_by_host(config, host);
	g_autofree char *path = http_normalize_path(call->msg->target);
	const struct res_rank *rank;
	int at;

	if (!s)
		return config->set ? CTR_NO_ROUTE : CTR_NO_SERVICE;
	at = res_find_rank(s->res, call->msg->method, path);
	if (at < 0)
		return CTR_NO_RANK;
	rank = g_ptr_array_index(s->res->ranks, (guint)at);
	call->service = g_strdup(s->res->name);
	call->rank = g_strdup(rank->name);
	call->is_idempotent = res_is_idempotent(rank, call->msg->method);
	call->worth = rank->worth;
	return CTR_CALLS;
}

enum ctr route_refusal(const struct node *n, enum ctr reason)
{
	return watch_is_current(n) ? reason : CTR_CONFIG_NOT_CURRENT;
}

/* Returns whether callers do not repeat a call that is refused for REASON. */
static bool is_final_refusal(enum ctr reason)
{
	return reason == CTR_NO_SERVICE || reason == CTR_NO_RANK || reason == CTR_NO_ROUTE ||
	       reason == CTR_NO_KEY || reason == CTR_UNKNOWN_KEY;
}

/*
 * Fills in service, rank and idempotence. Returns CTR_CALLS, or the reason why the call must
 * be refused.
 */
static enum ctr route(const struct node *n, struct route_request *c)
{
	struct entry_call *call = c->call;
	const char *host = http_header(call->msg, "Host");
	const struct config *config;
	struct config_route *r;
	g_autofree struct config_route *copy = NULL;
	enum ctr result = CTR_CALLS;

	config_read_lock();
	config = config_current();
	r = config && host ? config_find_route(config, host, call->msg->target) : NULL;
	/* The credit of its parts and the ages that it has seen change with each call. */
	if (r && c->is_question) {
		r = copy = g_memdup2(r, sizeof(*r) + r->parts_len * sizeof(r->parts[0]));
		c->route_key = g_strdup(r->key);
	}
	if (!config)
		result = CTR_NO_CONFIG;
	else if (r)
		result = apply_route(n, config, r, c);
	else if (!host)
		result = CTR_NO_SERVICE;
	else
		result = apply_rank(config, host, call);
	config_read_unlock();
	return is_final_refusal(result) && host ? route_refusal(n, result) : result;
}

static u16 routing_status(enum ctr reason)
{
	switch (reason) {
	case CTR_NO_CONFIG:
	case CTR_CONFIG_NOT_CURRENT:
	case CTR_KEY_NOT_CONFIRMED:
		return 503;
	case CTR_NO_KEY:
	case CTR_UNKNOWN_KEY:
		return 401;
	default:
		return 404;
	}
}

enum ctr route_decide(const struct node *n, struct route_request *c, u64 now_us, u16 *status)
{
	enum ctr reason = route(n, c);

	*status = routing_status(reason);
	if (reason != CTR_CALLS)
		return reason;
	if (!stop_may_take(&n->stop, c->call->deadline_us, now_us)) {
		*status = 503;
		return CTR_STOPPING;
	}
	if (c->call->deadline_us <= now_us) {
		*status = 504;
		return CTR_DEADLINE;
	}
	return CTR_CALLS;
}

const char *route_describe(enum ctr reason)
{
	switch (reason) {
	case CTR_NO_SERVICE:
		return "no service for this host";
	case CTR_NO_RANK:
		return "no rank of the service matches";
	case CTR_NO_ROUTE:
		return "no route for this host and path";
	case CTR_NO_CONFIG:
		return "no configuration received yet";
	case CTR_CONFIG_NOT_CURRENT:
		return "not allowed by this node's configuration, which may be old";
	case CTR_NO_KEY:
		return "a key is needed";
	case CTR_UNKNOWN_KEY:
		return "the key is not known";
	case CTR_KEY_NOT_CONFIRMED:
		return "this node can't tell whether the key is still valid";
	default:
		return NULL;
	}
}
