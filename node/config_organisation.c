/* Organisations of the active set, and their keys. */
#include "node/config_impl.h"

#include "lib/set_frame.h"

#include <string.h>

/* A key in the map of keys. It refers to its organisation. */
struct config_key {
	u32 refs;
	struct config_organisation *organisation;
	struct set_digest digest;
};

static void organisation_unref(void *p)
{
	struct config_organisation *o = p;

	if (--o->refs)
		return;
	g_array_unref(o->keys);
	g_free(o->name);
	g_free(o);
}

static void organisation_ref(void *p)
{
	((struct config_organisation *)p)->refs++;
}

static const char *organisation_name(const void *p)
{
	return ((const struct config_organisation *)p)->name;
}

static const char *key_digest(const void *p)
{
	return ((const struct config_key *)p)->digest.text;
}

static void key_ref(void *p)
{
	((struct config_key *)p)->refs++;
}

static void key_unref(void *p)
{
	struct config_key *k = p;

	if (--k->refs)
		return;
	organisation_unref(k->organisation);
	g_free(k);
}

static const struct pmap_ops organisation_ops = { organisation_name, organisation_ref,
						  organisation_unref };
static const struct pmap_ops key_ops = { key_digest, key_ref, key_unref };

void config_organisations_init(struct config_set *s)
{
	s->organisations.ops = &organisation_ops;
	s->keys.ops = &key_ops;
}

static struct config_organisation *organisation_new(const struct set_organisation *from)
{
	struct config_organisation *o = g_new0(struct config_organisation, 1);

	o->refs = 1;
	o->name = g_strdup(from->name);
	o->name_hash = pmap_hash(from->name);
	o->hash = set_organisation_hash(from);
	o->has_priority = from->has_priority;
	o->priority = from->priority;
	o->rate_milli_per_s = from->rate_milli_per_s;
	o->burst = from->burst;
	o->keys = g_array_ref(from->keys);
	return o;
}

static void add_keys(struct config_set *s, struct config_organisation *o)
{
	for (guint i = 0; i < o->keys->len; i++) {
		struct config_key *k = g_new0(struct config_key, 1);

		k->refs = 1;
		k->organisation = o;
		k->digest = g_array_index(o->keys, struct set_digest, i);
		o->refs++;
		pmap_set(&s->keys, k);
	}
}

/* A key may have gone to another organisation already, by the same change. */
static void drop_keys(struct config_set *s, const struct config_organisation *o)
{
	for (guint i = 0; i < o->keys->len; i++) {
		const char *digest = g_array_index(o->keys, struct set_digest, i).text;
		const struct config_key *k = pmap_find(&s->keys, digest);

		if (k && k->organisation == o)
			pmap_remove(&s->keys, digest);
	}
}

bool config_organisation_drop(struct config_set *s, struct config_organisation *o)
{
	bool has_changed = set_priorities_remove(&s->priorities, o->has_priority, o->priority);

	s->checksum -= o->hash;
	drop_keys(s, o);
	pmap_remove(&s->organisations, o->name);
	return has_changed;
}

bool config_organisation_put(struct config_set *s, const struct set_organisation *from)
{
	struct config_organisation *old = pmap_find(&s->organisations, from->name);
	struct config_organisation *o = organisation_new(from);
	bool has_changed = old && config_organisation_drop(s, old);

	has_changed |= set_priorities_add(&s->priorities, o->has_priority, o->priority);
	s->checksum += o->hash;
	pmap_set(&s->organisations, o);
	add_keys(s, o);
	return has_changed;
}

bool config_needs_key(const struct config *c)
{
	return c->set && c->set->priorities.is_used;
}

const struct config_organisation *config_find_organisation_by_key(const struct config *c,
								  const char *key)
{
	struct set_digest digest = set_digest_of_key(key);
	const struct config_key *k = c->set ? pmap_find(&c->set->keys, digest.text) : NULL;

	return k ? k->organisation : NULL;
}

const struct config_organisation *config_find_organisation(const struct config *c, u64 name_hash)
{
	return c->set ? pmap_find_hash(&c->set->organisations, name_hash) : NULL;
}
