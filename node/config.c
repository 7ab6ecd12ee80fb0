#define URCU_API_MAP
#include <urcu/urcu-bp.h>

#include "node/config_impl.h"

#include <string.h>

static struct config *current;

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

static size_t text_bytes(const struct set_route *r, const char *key)
{
	size_t bytes = strlen(key) + 1;

	for (guint i = 0; i < r->parts->len; i++)
		bytes += strlen(g_array_index(r->parts, struct set_split_part, i).service) + 1;
	return bytes;
}

/* Copies TEXT to *END and moves *END behind it. */
static const char *append_text(char **end, const char *text)
{
	char *at = *end;
	size_t bytes = strlen(text) + 1;

	memcpy(at, text, bytes);
	*end += bytes;
	return at;
}

struct config_route *config_route_new(const struct set_route *from, u64 hash)
{
	g_autofree char *key = set_route_key(from->host, from->prefix);
	size_t parts_bytes = from->parts->len * sizeof(struct config_split);
	struct config_route *r = g_malloc0(sizeof(*r) + parts_bytes + text_bytes(from, key));
	char *end = (char *)r + sizeof(*r) + parts_bytes;

	r->refs = 1;
	r->parts_len = from->parts->len;
	r->hash = hash;
	r->key = append_text(&end, key);
	r->timeout_ms = from->timeout_ms;
	r->target_ms = from->target_ms;
	r->attempts = from->attempts;
	r->priority = from->priority;
	r->is_idempotent = from->is_idempotent;
	r->is_anonymous = from->is_anonymous;
	for (u32 i = 0; i < r->parts_len; i++) {
		const struct set_split_part *part =
			&g_array_index(from->parts, struct set_split_part, i);

		r->parts[i].service = append_text(&end, part->service);
		r->parts[i].weight = part->weight;
	}
	return r;
}

void config_route_ref(struct config_route *r)
{
	r->refs++;
}

void config_route_unref(struct config_route *r)
{
	if (!--r->refs)
		g_free(r);
}

static const char *route_key(const void *route)
{
	return ((const struct config_route *)route)->key;
}

static void route_ref(void *route)
{
	config_route_ref(route);
}

static void route_unref(void *route)
{
	config_route_unref(route);
}

static const struct pmap_ops route_ops = { route_key, route_ref, route_unref };

struct config_service *config_service_new(struct res_service *res)
{
	struct config_service *s = g_new0(struct config_service, 1);

	s->refs = 1;
	s->res = res;
	return s;
}

void config_service_unref(gpointer service)
{
	struct config_service *s = service;

	if (--s->refs)
		return;
	if (s->targets)
		g_array_unref(s->targets);
	res_free(s->res);
	g_free(s->health_path);
	g_free(s);
}

static const char *service_key(const void *service)
{
	return ((const struct config_service *)service)->res->name;
}

static void service_ref(void *service)
{
	((struct config_service *)service)->refs++;
}

static const struct pmap_ops service_ops = { service_key, service_ref, config_service_unref };

struct config_set *config_set_new(const struct config_set *from)
{
	struct config_set *s = g_new0(struct config_set, 1);

	if (from) {
		*s = *from;
		s->routes = pmap_copy(&from->routes);
		s->services = pmap_copy(&from->services);
		s->organisations = pmap_copy(&from->organisations);
		s->keys = pmap_copy(&from->keys);
		set_priorities_copy(&s->priorities, &from->priorities);
	}
	config_organisations_init(s);
	s->routes.ops = &route_ops;
	s->services.ops = &service_ops;
	s->refs = 1;
	return s;
}

void config_set_ref(struct config_set *s)
{
	s->refs++;
}

void config_set_unref(struct config_set *s)
{
	if (!s || --s->refs)
		return;
	pmap_clear(&s->routes);
	pmap_clear(&s->services);
	pmap_clear(&s->keys);
	pmap_clear(&s->organisations);
	set_priorities_clear(&s->priorities);
	g_free(s);
}

static void config_free(struct config *c)
{
	g_hash_table_unref(c->by_host);
	g_hash_table_unref(c->by_name);
	g_hash_table_unref(c->evacuated);
	config_set_unref(c->set);
	g_free(c);
}

static void claim_host(struct config *c, const char *host, struct config_service *s)
{
	const struct config_service *other = g_hash_table_lookup(c->by_host, host);

	if (other && strcmp(other->res->name, s->res->name) < 0)
		return;
	g_hash_table_insert(c->by_host, (gpointer)host, s);
}

/* Iteration order differs between nodes, but the service that gets a host must not. */
void config_index_hosts(struct config *c)
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

void config_publish(struct config *next)
{
	struct config *old = rcu_xchg_pointer(&current, next);

	urcu_bp_synchronize_rcu();
	if (old)
		config_free(old);
}

void config_reset(void)
{
	config_publish(NULL);
}
