#define URCU_API_MAP
#include <urcu/urcu-bp.h>

#include "node/config.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

#include <string.h>

static struct config *current;

static void service_unref(gpointer p)
{
	struct config_service *s = p;

	if (!g_atomic_int_dec_and_test(&s->refs))
		return;
	res_free(s->res);
	g_free(s);
}

void config_change_free(gpointer p)
{
	struct config_change *change = p;

	g_free(change->name);
	g_free(change->json);
	g_free(change);
}

void config_read_lock(void)
{
	urcu_bp_read_lock();
}

void config_read_unlock(void)
{
	urcu_bp_read_unlock();
}

const struct config *config_current(void)
{
	return rcu_dereference(current);
}

u64 config_revision(void)
{
	u64 revision;

	config_read_lock();
	revision = config_current() ? config_current()->revision : 0;
	config_read_unlock();
	return revision;
}

static void route_free(gpointer p)
{
	struct config_route *r = p;

	g_free(r->credit);
	g_free(r);
}

static void set_unref(struct config_set *s)
{
	if (!s || !g_atomic_int_dec_and_test(&s->refs))
		return;
	g_hash_table_unref(s->routes);
	g_hash_table_unref(s->services);
	set_free(s->set);
	g_free(s->text);
	g_free(s);
}

static void add_set_service(struct config_set *s, const char *name)
{
	struct config_service *service = g_new0(struct config_service, 1);

	service->res = res_new();
	service->res->name = g_strdup(name);
	service->refs = 1;
	g_hash_table_insert(s->services, service->res->name, service);
}

static void add_route(struct config_set *s, const struct set_route *route)
{
	struct config_route *r = g_new0(struct config_route, 1);

	r->route = route;
	r->credit = g_new0(i64, route->parts->len);
	g_hash_table_insert(s->routes, set_route_key(route->host, route->prefix), r);
	for (guint i = 0; i < route->parts->len; i++) {
		const char *name = g_array_index(route->parts, struct set_split_part, i).service;
		struct config_service *service = g_hash_table_lookup(s->services, name);

		set_add_rank(service->res, route);
	}
}

/* Takes ownership of SET. */
static struct config_set *set_new(struct set *set, const char *text)
{
	struct config_set *s = g_new0(struct config_set, 1);

	s->refs = 1;
	s->set = set;
	s->text = g_strdup(text);
	s->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_free);
	s->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_unref);
	for (guint i = 0; i < set->services->len; i++)
		add_set_service(s,
				((struct set_service *)g_ptr_array_index(set->services, i))->name);
	for (guint i = 0; i < set->routes->len; i++)
		add_route(s, g_ptr_array_index(set->routes, i));
	return s;
}

static struct config *config_new(u64 revision)
{
	struct config *c = g_new0(struct config, 1);

	c->revision = revision;
	c->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_unref);
	c->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	return c;
}

static void config_free(struct config *c)
{
	g_hash_table_unref(c->by_host);
	g_hash_table_unref(c->by_name);
	set_unref(c->set);
	g_free(c);
}

static void copy_services(struct config *to, const struct config *from)
{
	GHashTableIter iter;
	gpointer value;

	to->set = from->set;
	if (to->set)
		g_atomic_int_inc(&to->set->refs);
	g_hash_table_iter_init(&iter, from->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct config_service *s = value;

		g_atomic_int_inc(&s->refs);
		g_hash_table_insert(to->by_name, s->res->name, s);
	}
}

static void log_set(const struct config *c)
{
	const struct set *set = c->set ? c->set->set : NULL;

	log_event(LOG_INFO, "set in force", "version", log_u64(set ? set->version : 0), "revision",
		  log_u64(c->revision), "routes", log_u64(set ? set->routes->len : 0), NULL);
	for (guint i = 0; set && log_is_on(LOG_DEBUG) && i < set->routes->len; i++) {
		const struct set_route *r = g_ptr_array_index(set->routes, i);

		log_event(LOG_DEBUG, "route", "name", r->name, "priority", log_u64(r->priority),
			  "timeout_ms", log_u64(r->timeout_ms), "target_ms", log_u64(r->target_ms),
			  "attempts", log_u64(r->attempts), NULL);
	}
}

static void apply_set(struct config *c, const struct config_change *change)
{
	FINDINGS_AUTO(found);
	struct set *set = NULL;

	if (change->json)
		ctr_add(CTR_CONFIG_BYTES, strlen(change->json));
	if (change->json)
		set = set_parse(change->json, strlen(change->json), &found);
	if (change->json && !set) {
		log_event(LOG_ERROR,
			  "the set in the configuration is invalid; keeping the previous one",
			  "place", findings_at(&found, 0)->place, "text",
			  findings_at(&found, 0)->text, NULL);
		return;
	}
	set_unref(c->set);
	c->set = set ? set_new(set, change->json) : NULL;
	log_set(c);
}

static void apply_change(struct config *c, const struct config_change *change)
{
	FINDINGS_AUTO(found);
	struct config_service *s;
	struct res_service *res;

	if (!strcmp(change->name, SET_NAME)) {
		apply_set(c, change);
		return;
	}

	/* The value owns the key, so the old pair is removed before the new one is inserted. */
	g_hash_table_remove(c->by_name, change->name);
	if (!change->json)
		return;
	ctr_add(CTR_CONFIG_BYTES, strlen(change->json));
	res = res_parse(change->json, strlen(change->json), &found);
	if (!res) {
		log_event(LOG_ERROR, "service in the configuration is invalid", "service",
			  change->name, NULL);
		return;
	}
	s = g_new0(struct config_service, 1);
	s->res = res;
	s->version = change->version;
	s->refs = 1;
	g_hash_table_insert(c->by_name, s->res->name, s);
}

static void claim_host(struct config *c, const char *host, struct config_service *s)
{
	const struct config_service *other = g_hash_table_lookup(c->by_host, host);

	if (other && strcmp(other->res->name, s->res->name) < 0)
		return;
	g_hash_table_insert(c->by_host, (gpointer)host, s);
}

/* Iteration order differs between nodes, but the service that gets a host must not. */
static void index_hosts(struct config *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct config_service *s = value;

		for (guint i = 0; i < s->res->hosts->len; i++)
			claim_host(c, g_ptr_array_index(s->res->hosts, i), s);
	}
}

static void publish(struct config *next)
{
	struct config *old = rcu_xchg_pointer(&current, next);

	urcu_bp_synchronize_rcu();
	if (old)
		config_free(old);
}

const char *config_set_text(void)
{
	return current && current->set ? current->set->text : NULL;
}

int config_apply(u64 revision, bool is_snapshot, GPtrArray *changes)
{
	struct config *next;

	if (current && revision <= current->revision) {
		ctr_inc(CTR_CONFIG_STALE);
		return ERR_CONFLICT;
	}
	next = config_new(revision);
	if (current && !is_snapshot)
		copy_services(next, current);
	for (guint i = 0; i < changes->len; i++)
		apply_change(next, g_ptr_array_index(changes, i));
	index_hosts(next);
	publish(next);
	ctr_inc(CTR_CONFIG_APPLIED);
	return 0;
}

void config_reset(void)
{
	publish(NULL);
}

static void add_names(GPtrArray *out, GHashTable *services)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(out, g_strdup(name));
}

GPtrArray *config_service_names(void)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	const struct config *c;

	config_read_lock();
	c = config_current();
	if (c)
		add_names(out, c->by_name);
	if (c && c->set)
		add_names(out, c->set->services);
	config_read_unlock();
	return out;
}

const struct config_service *config_find_service(const struct config *c, const char *name)
{
	const struct config_service *s = g_hash_table_lookup(c->by_name, name);

	return s || !c->set ? s : g_hash_table_lookup(c->set->services, name);
}

struct config_route *config_find_route(const struct config *c, const char *host, const char *target)
{
	g_autofree char *name = g_strndup(host, strcspn(host, ":"));
	size_t len = strcspn(target, "?#");
	g_autofree char *path = g_strndup(target, len);
	g_autofree char *key = set_route_key(name, path);
	/* The path part of the key, which is shortened one segment at a time. */
	char *prefix = key + strlen(key) - len;

	if (!c->set)
		return NULL;
	while (len) {
		struct config_route *r;

		while (len && prefix[len - 1] != '/')
			len--;
		prefix[len] = 0;
		r = g_hash_table_lookup(c->set->routes, key);
		if (r || !len)
			return r;
		len--;
	}
	return NULL;
}

static i64 weight_of(const struct set_route *r, guint i)
{
	return (i64)g_array_index(r->parts, struct set_split_part, i).weight;
}

/* Starts at a random position, so that the shares also hold over all nodes together. */
static void init_credit(struct config_route *r, i64 sum, struct rng *rng)
{
	r->has_initial_credit = true;
	for (guint i = 0; i < r->route->parts->len; i++)
		if (weight_of(r->route, i))
			r->credit[i] = (i64)rng_below(rng, (u32)MIN(sum, (i64)UINT32_MAX));
}

const char *config_route_pick_service(struct config_route *r, struct rng *rng)
{
	const GArray *parts = r->route->parts;
	guint best = 0;
	i64 sum = 0;

	if (parts->len == 1)
		return g_array_index(parts, struct set_split_part, 0).service;
	for (guint i = 0; i < parts->len; i++)
		sum += weight_of(r->route, i);
	if (!r->has_initial_credit)
		init_credit(r, sum, rng);
	for (guint i = 0; i < parts->len; i++) {
		r->credit[i] += weight_of(r->route, i);
		if (!weight_of(r->route, best) ||
		    (weight_of(r->route, i) && r->credit[i] > r->credit[best]))
			best = i;
	}
	r->credit[best] -= sum;
	return g_array_index(parts, struct set_split_part, best).service;
}

const struct config_service *config_find_service_by_host(const struct config *c, const char *host)
{
	g_autofree char *lower = g_ascii_strdown(host, -1);
	const struct config_service *s;
	char *end = strrchr(lower, ':');

	if (end)
		*end = 0;
	s = g_hash_table_lookup(c->by_host, lower);
	if (s)
		return s;
	end = strchr(lower, '.');
	if (end)
		*end = 0;
	return config_find_service(c, lower);
}
