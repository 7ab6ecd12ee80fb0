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
	g_free(c);
}

static void copy_services(struct config *to, const struct config *from)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, from->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct config_service *s = value;

		g_atomic_int_inc(&s->refs);
		g_hash_table_insert(to->by_name, s->res->name, s);
	}
}

static void apply_change(struct config *c, const struct config_change *change)
{
	FIND_AUTO(found);
	struct config_service *s;
	struct res_service *res;

	/* The key belongs to the value, so the old pair goes first. */
	g_hash_table_remove(c->by_name, change->name);
	if (!change->json)
		return;
	res = res_parse(change->json, strlen(change->json), &found);
	if (!res) {
		log_event(LOG_ERROR, "service in the configuration is not valid", "service",
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

/* The order of the walk differs between nodes, the service that gets a host does not. */
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

const struct config_service *config_find(const struct config *c, const char *name)
{
	return g_hash_table_lookup(c->by_name, name);
}

const struct config_service *config_find_host(const struct config *c, const char *host)
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
	return config_find(c, lower);
}
