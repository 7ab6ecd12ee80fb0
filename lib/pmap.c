#include "lib/pmap.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define BITS 4
#define SLOTS (1 << BITS)
/* Levels that one hash of a key serves; below them another hash of it is used. */
#define LEVELS_PER_HASH (64 / BITS)

struct pmap_node {
	u32 refs;
	u32 values; /* bit of each slot that holds a value rather than a node */
	void *slots[SLOTS];
};

u64 pmap_hash(const char *key)
{
	return XXH64(key, strlen(key), 0);
}

static u32 slot_of_hash(u64 hash, u32 level)
{
	return (u32)(hash >> (level % LEVELS_PER_HASH * BITS)) & (SLOTS - 1);
}

/* HASH is that of KEY, so that it is not computed again at each level. */
static u32 slot_of(const char *key, u64 hash, u32 level)
{
	u32 seed = level / LEVELS_PER_HASH;

	return slot_of_hash(seed ? XXH64(key, strlen(key), seed) : hash, level);
}

static bool is_value(const struct pmap_node *n, u32 slot)
{
	return n->values & (1U << slot);
}

static void node_unref(const struct pmap *m, struct pmap_node *n)
{
	if (!n || --n->refs)
		return;
	for (u32 i = 0; i < SLOTS; i++) {
		if (is_value(n, i))
			m->ops->unref(n->slots[i]);
		else
			node_unref(m, n->slots[i]);
	}
	g_free(n);
}

static struct pmap_node *node_new(void)
{
	struct pmap_node *n = g_new0(struct pmap_node, 1);

	n->refs = 1;
	return n;
}

/* Returns N if nothing else refers to it, else a copy in its place; a new node for NULL. */
static struct pmap_node *node_own(const struct pmap *m, struct pmap_node *n)
{
	struct pmap_node *copy;

	if (n && n->refs == 1)
		return n;
	copy = node_new();
	if (!n)
		return copy;
	copy->values = n->values;
	memcpy(copy->slots, n->slots, sizeof(copy->slots));
	for (u32 i = 0; i < SLOTS; i++) {
		if (is_value(n, i))
			m->ops->ref(n->slots[i]);
		else if (n->slots[i])
			((struct pmap_node *)n->slots[i])->refs++;
	}
	n->refs--;
	return copy;
}

struct pmap pmap_copy(const struct pmap *m)
{
	if (m->root)
		m->root->refs++;
	return *m;
}

void pmap_clear(struct pmap *m)
{
	node_unref(m, m->root);
	m->root = NULL;
	m->count = 0;
}

void *pmap_find(const struct pmap *m, const char *key)
{
	const struct pmap_node *n = m->root;
	u64 hash = pmap_hash(key);

	for (u32 level = 0; n; level++) {
		u32 slot = slot_of(key, hash, level);

		if (is_value(n, slot))
			return strcmp(m->ops->key(n->slots[slot]), key) ? NULL : n->slots[slot];
		n = n->slots[slot];
	}
	return NULL;
}

void *pmap_find_hash(const struct pmap *m, u64 hash)
{
	const struct pmap_node *n = m->root;

	for (u32 level = 0; n && level < LEVELS_PER_HASH; level++) {
		u32 slot = slot_of_hash(hash, level);

		if (is_value(n, slot))
			return pmap_hash(m->ops->key(n->slots[slot])) == hash ? n->slots[slot] :
										NULL;
		n = n->slots[slot];
	}
	return NULL;
}

static void place_value(struct pmap_node *n, u32 slot, void *value)
{
	n->slots[slot] = value;
	n->values |= 1U << slot;
}

/* Puts a node into SLOT in place of a value, and moves the value into it. */
static void split_slot(const struct pmap *m, struct pmap_node *n, u32 slot, u32 level)
{
	struct pmap_node *child = node_new();
	const char *key = m->ops->key(n->slots[slot]);

	place_value(child, slot_of(key, pmap_hash(key), level + 1), n->slots[slot]);
	n->values &= ~(1U << slot);
	n->slots[slot] = child;
}

void pmap_set(struct pmap *m, void *value)
{
	const char *key = m->ops->key(value);
	u64 hash = pmap_hash(key);
	struct pmap_node *n = m->root = node_own(m, m->root);
	u32 level = 0;
	u32 slot = slot_of(key, hash, level);

	while (n->slots[slot]) {
		if (is_value(n, slot) && !strcmp(m->ops->key(n->slots[slot]), key)) {
			m->ops->unref(n->slots[slot]);
			n->slots[slot] = value;
			return;
		}
		if (is_value(n, slot))
			split_slot(m, n, slot, level);
		n->slots[slot] = node_own(m, n->slots[slot]);
		n = n->slots[slot];
		slot = slot_of(key, hash, ++level);
	}
	place_value(n, slot, value);
	m->count++;
}

/* Replaces the node in SLOT by its content when that is at most one value. */
static void collapse_slot(struct pmap_node *n, u32 slot)
{
	struct pmap_node *child = n->slots[slot];
	void *value = NULL;
	u32 used = 0;

	for (u32 i = 0; i < SLOTS; i++) {
		used += child->slots[i] != NULL;
		if (is_value(child, i))
			value = child->slots[i];
	}
	if (used > 1 || (used && !value))
		return;
	g_free(child);
	n->slots[slot] = NULL;
	if (value)
		place_value(n, slot, value);
}

/* Removes the value with KEY, which is there, from N, which nothing else refers to. */
static void remove_from(const struct pmap *m, struct pmap_node *n, const char *key, u64 hash,
			u32 level)
{
	u32 slot = slot_of(key, hash, level);

	if (is_value(n, slot)) {
		n->values &= ~(1U << slot);
		m->ops->unref(n->slots[slot]);
		n->slots[slot] = NULL;
		return;
	}
	n->slots[slot] = node_own(m, n->slots[slot]);
	remove_from(m, n->slots[slot], key, hash, level + 1);
	collapse_slot(n, slot);
}

bool pmap_remove(struct pmap *m, const char *key)
{
	void *value = pmap_find(m, key);

	if (!value)
		return false;
	/* KEY may be that of the value. */
	m->ops->ref(value);
	m->root = node_own(m, m->root);
	remove_from(m, m->root, key, pmap_hash(key), 0);
	m->ops->unref(value);
	m->count--;
	return true;
}

static void each_in(const struct pmap_node *n, void (*fn)(void *value, void *arg), void *arg)
{
	for (u32 i = 0; n && i < SLOTS; i++) {
		if (is_value(n, i))
			fn(n->slots[i], arg);
		else
			each_in(n->slots[i], fn, arg);
	}
}

void pmap_each(const struct pmap *m, void (*fn)(void *value, void *arg), void *arg)
{
	each_in(m->root, fn, arg);
}
