/*
 * pmap - a persistent map from strings to values
 *
 * A copy takes constant time and shares everything with the original. A change of one of them makes
 * new nodes only on the path to the changed value. A map that shares nothing is changed in place.
 * The key is part of the value. References are counted without atomic operations: all maps that
 * share values are changed by one thread. Other threads may read a map that is not changed.
 *
 * SOURCE lib/pmap.c
 */
#ifndef PMAP_H
#define PMAP_H

#include "lib/types.h"

struct pmap_ops {
	const char *(*key)(const void *value);
	void (*ref)(void *value);
	void (*unref)(void *value);
};

struct pmap_node;

/* All zero but for OPS is an empty map. */
struct pmap {
	const struct pmap_ops *ops;
	struct pmap_node *root;
	u32 count;
};

/* pmap_hash - returns the hash of a key, as used by pmap_find_hash. */
u64 pmap_hash(const char *key);

/* pmap_copy - returns a copy of M, which has to be cleared as well. */
struct pmap pmap_copy(const struct pmap *m);
void pmap_clear(struct pmap *m);

/* pmap_find - returns the value with KEY, or NULL. It belongs to the map. */
void *pmap_find(const struct pmap *m, const char *key);

/* pmap_find_hash - returns the value whose key has HASH, or NULL. */
void *pmap_find_hash(const struct pmap *m, u64 hash);

/* pmap_set - adds VALUE in place of the one with its key, and takes over the reference to it. */
void pmap_set(struct pmap *m, void *value);

/* pmap_remove - removes the value with KEY; returns false if there is none. */
bool pmap_remove(struct pmap *m, const char *key);

/* pmap_each - calls FN for each value, in an order that depends on the keys alone. */
void pmap_each(const struct pmap *m, void (*fn)(void *value, void *arg), void *arg);

#endif
