#include "node/config.h"

#include <string.h>

static void add_name(void *service, void *names)
{
	g_ptr_array_add(names, g_strdup(((struct config_service *)service)->res->name));
}

static GPtrArray *names_of(const struct config *c)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer service;

	if (!c)
		return out;
	g_hash_table_iter_init(&iter, c->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		add_name(service, out);
	if (c->set)
		pmap_each(&c->set->services, add_name, out);
	return out;
}

static u32 count_services(const struct config *c)
{
	return c ? g_hash_table_size(c->by_name) + (c->set ? c->set->services.count : 0) : 0;
}

GPtrArray *config_service_names(u32 max)
{
	GPtrArray *out;

	config_read_lock();
	out = count_services(config_current()) <= max ? names_of(config_current()) : NULL;
	config_read_unlock();
	return out;
}

bool config_is_evacuated(const struct config *c, const char *zone)
{
	return c && g_hash_table_contains(c->evacuated, zone);
}

const struct config_service *config_find_service(const struct config *c, const char *name)
{
	const struct config_service *s = g_hash_table_lookup(c->by_name, name);

	return s ? s : config_find_set_service(c, name);
}

const struct config_service *config_find_set_service(const struct config *c, const char *name)
{
	return c->set ? pmap_find(&c->set->services, name) : NULL;
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
		r = pmap_find(&c->set->routes, key);
		if (r || !len)
			return r;
		len--;
	}
	return NULL;
}

/* Starts at a random position, so that the shares also hold over all nodes together. */
static void init_credit(struct config_route *r, i64 sum, struct rng *rng)
{
	r->has_initial_credit = true;
	for (u32 i = 0; i < r->parts_len; i++)
		if (r->parts[i].weight)
			r->parts[i].credit = (i64)rng_below(rng, (u32)MIN(sum, (i64)UINT32_MAX));
}

const char *config_route_pick_service(struct config_route *r, struct rng *rng)
{
	struct config_split *best = &r->parts[0];
	i64 sum = 0;

	if (r->parts_len == 1)
		return best->service;
	for (u32 i = 0; i < r->parts_len; i++)
		sum += (i64)r->parts[i].weight;
	if (!r->has_initial_credit)
		init_credit(r, sum, rng);
	for (u32 i = 0; i < r->parts_len; i++) {
		struct config_split *part = &r->parts[i];

		part->credit += (i64)part->weight;
		if (!best->weight || (part->weight && part->credit > best->credit))
			best = part;
	}
	best->credit -= sum;
	return best->service;
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
