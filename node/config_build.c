#include "node/config_build.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "lib/set_frame.h"
#include "node/config_impl.h"

#include <string.h>

struct config_build {
	u64 revision;
	u64 base;
	struct config_set *set; /* NULL if there is none */
	bool has_new_set; /* SET is not the one in force */
	GHashTable *declared; /* name -> struct config_service, NULL if removed: the changes */
	GHashTable *evacuated; /* set of zones; that of the one in force until it changes */
	bool has_own_evacuated;
	GHashTable *own; /* services of the set that only this build refers to */
	GHashTable *unsettled; /* of struct config_service: their routes have changed */
	u32 changed_routes;
	bool have_priorities_changed; /* so the ranks of all services have to be computed */
};

static void unref_if_any(gpointer service)
{
	if (service)
		config_service_unref(service);
}

static GHashTable *new_zones(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct config_build *config_build_new(u64 revision, u64 base)
{
	const struct config *c = config_current();
	struct config_build *b;

	if (base && (!c || c->revision != base))
		return NULL;
	b = g_new0(struct config_build, 1);
	b->revision = revision;
	b->base = base;
	b->declared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_if_any);
	b->own = g_hash_table_new(g_direct_hash, g_direct_equal);
	b->unsettled = g_hash_table_new(g_direct_hash, g_direct_equal);
	b->evacuated = base ? g_hash_table_ref(c->evacuated) : new_zones();
	b->set = base ? c->set : NULL;
	if (b->set)
		config_set_ref(b->set);
	return b;
}

void config_build_free(struct config_build *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->declared);
	g_hash_table_unref(b->evacuated);
	g_hash_table_unref(b->own);
	g_hash_table_unref(b->unsettled);
	config_set_unref(b->set);
	g_free(b);
}

u64 config_build_revision(const struct config_build *b)
{
	return b->revision;
}

u64 config_build_base(const struct config_build *b)
{
	return b->base;
}

int config_build_declare(struct config_build *b, u64 version, const char *json)
{
	FINDINGS_AUTO(found);
	struct res_service *res = res_parse(json, strlen(json), &found);
	struct config_service *s;

	if (!res)
		return ERR_INVAL;
	s = config_service_new(res);
	s->version = version;
	g_hash_table_insert(b->declared, g_strdup(res->name), s);
	return 0;
}

void config_build_undeclare(struct config_build *b, const char *name)
{
	g_hash_table_insert(b->declared, g_strdup(name), NULL);
}

/* Makes the set of zones one that only this build refers to. */
static void own_evacuated(struct config_build *b)
{
	GHashTable *shared = b->evacuated;
	GHashTableIter iter;
	gpointer zone;

	if (b->has_own_evacuated)
		return;
	b->evacuated = new_zones();
	b->has_own_evacuated = true;
	g_hash_table_iter_init(&iter, shared);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		g_hash_table_add(b->evacuated, g_strdup(zone));
	g_hash_table_unref(shared);
}

void config_build_evacuate(struct config_build *b, const char *zone)
{
	own_evacuated(b);
	g_hash_table_add(b->evacuated, g_strdup(zone));
}

void config_build_restore(struct config_build *b, const char *zone)
{
	own_evacuated(b);
	g_hash_table_remove(b->evacuated, zone);
}

void config_build_set(struct config_build *b, u64 version, const struct set_limits *limits,
		      bool has_organisations)
{
	struct config_set *shared = b->set;

	b->set = config_set_new(shared);
	config_set_unref(shared);
	b->has_new_set = true;
	b->set->version = version;
	b->set->limits = *limits;
	if (b->set->priorities.is_used != has_organisations)
		b->have_priorities_changed = true;
	b->set->priorities.is_used = has_organisations;
}

/* Adds S, which only this build refers to, to the set. */
static void put_own(struct config_build *b, struct config_service *s)
{
	g_hash_table_add(b->own, s);
	pmap_set(&b->set->services, s);
}

/* Copies what is declared of a service besides its name. */
static void set_details(struct config_service *s, const struct set_service *from)
{
	g_free(s->health_path);
	s->health_path = g_strdup(from->health_path);
	s->cold_period_ms = from->cold_period_ms;
	s->cold_milli_per_s = from->cold_milli_per_s;
}

/* Returns what is declared of S, whose texts it shares. */
static struct set_service declared_of(const struct config_service *s)
{
	return (struct set_service){ .name = s->res->name,
				     .health_path = s->health_path,
				     .cold_period_ms = s->cold_period_ms,
				     .cold_milli_per_s = s->cold_milli_per_s };
}

static struct config_service *new_set_service(const struct set_service *from)
{
	struct config_service *s = config_service_new(res_new());

	s->res->name = g_strdup(from->name);
	s->targets = g_array_new(FALSE, FALSE, sizeof(struct set_target));
	set_details(s, from);
	return s;
}

static u64 hash_of(const struct config_service *s)
{
	struct set_service plain = declared_of(s);

	return set_service_hash(&plain);
}

/* Returns the service, in a copy if the set in force has it too; NULL if the set has none. */
static struct config_service *own_service(struct config_build *b, const char *name)
{
	struct config_service *s = pmap_find(&b->set->services, name);
	struct config_service *copy;
	struct set_service declared;

	if (!s || g_hash_table_contains(b->own, s))
		return s;
	declared = declared_of(s);
	copy = new_set_service(&declared);
	g_array_append_vals(copy->targets, s->targets->data, s->targets->len);
	set_make_ranks(copy->res, copy->targets, &b->set->priorities);
	put_own(b, copy);
	return copy;
}

int config_build_service(struct config_build *b, const struct set_service *s)
{
	struct config_service *old;

	if (!b->set)
		return ERR_CONFLICT;
	old = own_service(b, s->name);
	if (old) {
		b->set->checksum -= hash_of(old);
		set_details(old, s);
	} else {
		put_own(b, new_set_service(s));
	}
	b->set->checksum += set_service_hash(s);
	return 0;
}

int config_build_drop_service(struct config_build *b, u64 name_hash)
{
	struct config_service *s = b->set ? pmap_find_hash(&b->set->services, name_hash) : NULL;

	if (!s || s->targets->len)
		return ERR_CONFLICT;
	b->set->checksum -= hash_of(s);
	g_hash_table_remove(b->own, s);
	g_hash_table_remove(b->unsettled, s);
	pmap_remove(&b->set->services, s->res->name);
	return 0;
}

/* Counts the route at the services that it leads to, or no longer counts it. */
static int count_route(struct config_build *b, const struct config_route *r, bool is_added)
{
	const struct set_target t = { r->is_anonymous, r->priority, (u32)r->target_ms, 0 };

	for (u32 i = 0; i < r->parts_len; i++) {
		struct config_service *s = own_service(b, r->parts[i].service);

		if (!s)
			return ERR_CONFLICT;
		if (is_added)
			set_target_add(s->targets, &t);
		else if (!set_target_remove(s->targets, &t))
			return ERR_CONFLICT;
		g_hash_table_add(b->unsettled, s);
	}
	return 0;
}

static int drop_route(struct config_build *b, struct config_route *r)
{
	int err = count_route(b, r, false);

	b->set->checksum -= r->hash;
	pmap_remove(&b->set->routes, r->key);
	return err;
}

int config_build_drop_route(struct config_build *b, u64 key_hash)
{
	struct config_route *r = b->set ? pmap_find_hash(&b->set->routes, key_hash) : NULL;

	if (!r)
		return ERR_CONFLICT;
	b->changed_routes++;
	return drop_route(b, r);
}

/* Returns the route in force, with another reference, if it is the same; else a new one. */
static struct config_route *make_route(const struct set_route *from)
{
	const struct config *c = config_current();
	g_autofree char *key = set_route_key(from->host, from->prefix);
	struct config_route *r = c && c->set ? pmap_find(&c->set->routes, key) : NULL;
	u64 hash = set_route_hash(from);

	if (!r || r->hash != hash)
		return config_route_new(from, hash);
	config_route_ref(r);
	return r;
}

static void log_route(const struct set_route *r)
{
	if (log_is_on(LOG_DEBUG))
		log_event(LOG_DEBUG, "route", "host", r->host, "prefix", r->prefix, "priority",
			  log_u64(r->priority), "timeout_ms", log_u64(r->timeout_ms), "target_ms",
			  log_u64(r->target_ms), "attempts", log_u64(r->attempts), NULL);
}

int config_build_route(struct config_build *b, const struct set_route *from)
{
	struct config_route *old;
	struct config_route *r;
	int err = 0;

	if (!b->set)
		return ERR_CONFLICT;
	r = make_route(from);
	old = pmap_find(&b->set->routes, r->key);
	if (old)
		err = drop_route(b, old);
	if (!err)
		err = count_route(b, r, true);
	b->set->checksum += r->hash;
	b->changed_routes++;
	pmap_set(&b->set->routes, r);
	log_route(from);
	return err;
}

int config_build_organisation(struct config_build *b, const struct set_organisation *o)
{
	if (!b->set)
		return ERR_CONFLICT;
	b->have_priorities_changed |= config_organisation_put(b->set, o);
	return 0;
}

int config_build_drop_organisation(struct config_build *b, u64 name_hash)
{
	struct config_organisation *o =
		b->set ? pmap_find_hash(&b->set->organisations, name_hash) : NULL;

	if (!o)
		return ERR_CONFLICT;
	b->have_priorities_changed |= config_organisation_drop(b->set, o);
	return 0;
}

static void add_service_name(void *service, void *names)
{
	g_ptr_array_add(names, ((struct config_service *)service)->res->name);
}

/* Marks all services as unsettled. */
static void unsettle_all(struct config_build *b)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();

	pmap_each(&b->set->services, add_service_name, names);
	for (guint i = 0; i < names->len; i++)
		g_hash_table_add(b->unsettled, own_service(b, g_ptr_array_index(names, i)));
	b->have_priorities_changed = false;
}

void config_build_settle(struct config_build *b)
{
	GHashTableIter iter;
	gpointer key;

	if (b->have_priorities_changed)
		unsettle_all(b);
	g_hash_table_iter_init(&iter, b->unsettled);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct config_service *s = key;

		set_make_ranks(s->res, s->targets, &b->set->priorities);
	}
	g_hash_table_remove_all(b->unsettled);
}

bool config_build_matches(const struct config_build *b, const struct config_sums *sums)
{
	const struct config_set *s = b->set;

	if (!s)
		return !sums->checksum && !sums->routes && !sums->services && !sums->organisations;
	return s->checksum == sums->checksum && s->routes.count == sums->routes &&
	       s->services.count == sums->services && s->organisations.count == sums->organisations;
}

/* Adds the services of FROM that are not changed. */
static void copy_declared(struct config *to, const struct config *from, GHashTable *changes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, from->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct config_service *s = value;

		if (g_hash_table_contains(changes, s->res->name))
			continue;
		s->refs++;
		g_hash_table_insert(to->by_name, s->res->name, s);
	}
}

static void add_declared(struct config *to, GHashTable *changes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct config_service *s = value;

		if (!s)
			continue;
		s->refs++;
		g_hash_table_insert(to->by_name, s->res->name, s);
	}
}

static void build_declared(struct config *to, const struct config *from, GHashTable *changes)
{
	if (from && !g_hash_table_size(changes)) {
		to->by_name = g_hash_table_ref(from->by_name);
		to->by_host = g_hash_table_ref(from->by_host);
		return;
	}
	to->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, config_service_unref);
	to->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	if (from)
		copy_declared(to, from, changes);
	add_declared(to, changes);
	config_index_hosts(to);
}

static void log_set(const struct config_build *b)
{
	if (b->has_new_set)
		log_event(LOG_INFO, "set in force", "version", log_u64(b->set->version), "revision",
			  log_u64(b->revision), "base", log_u64(b->base), "routes",
			  log_u64(b->set->routes.count), "changed", log_u64(b->changed_routes),
			  NULL);
}

int config_build_publish(struct config_build *b)
{
	const struct config *old = config_current();
	struct config *next;

	if (b->revision <= config_revision() || (b->base && b->base != config_revision())) {
		ctr_inc(CTR_CONFIG_STALE);
		config_build_free(b);
		return ERR_CONFLICT;
	}
	config_build_settle(b);
	next = g_new0(struct config, 1);
	next->revision = b->revision;
	next->set = g_steal_pointer(&b->set);
	next->evacuated = g_hash_table_ref(b->evacuated);
	build_declared(next, b->base ? old : NULL, b->declared);
	config_publish(next);
	ctr_inc(CTR_CONFIG_APPLIED);
	b->set = next->set;
	log_set(b);
	b->set = NULL;
	config_build_free(b);
	return 0;
}
