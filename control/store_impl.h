/*
 * store_impl - the parts of the store: its state, changes as commands, and snapshots
 *
 * SOURCE control/store.c, control/store_change.c, control/store_snapshot.c
 */
#ifndef STORE_IMPL_H
#define STORE_IMPL_H

#include "control/store.h"
#include "lib/set.h"

#define STORE_TEXT_MAX_BYTES SET_JSON_MAX_BYTES

/* The result of a change id. */
struct change_record {
	char *id;
	u64 hash;
	struct store_result result;
};

void store_item_free(gpointer p);

/* store_compare_revisions - orders items by the revision of their last change. */
gint store_compare_revisions(gconstpointer a, gconstpointer b);

/* store_record_result - keeps RESULT for the change ID, and evicts the oldest one if needed. */
void store_record_result(struct store *s, const char *id, u64 hash,
			 const struct store_result *result);

/* store_is_set_change - returns whether C replaces the set. */
bool store_is_set_change(const struct store_change *c);

/*
 * store_change_hash - identifies the change C of COMMAND, so that an id is not used for another
 * one. The same set may come as a text and as a delta; its id is made from its content. What the
 * sender has seen is no part of a change, since the change may come again through another process.
 */
u64 store_change_hash(const struct store_change *c, GBytes *command);

#endif
