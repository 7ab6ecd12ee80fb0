/* store_model - a reference model of the store that keeps the complete history in lists */
#ifndef STORE_MODEL_H
#define STORE_MODEL_H

#include "control/store.h"
#include "lib/rng.h"

struct store_model_item {
	char *name;
	char *json; /* NULL after a deletion */
	u64 version;
	u64 revision;
};

struct store_model_record {
	char *id;
	GBytes *command;
	struct store_result result;
};

struct store_model {
	GPtrArray *items; /* of struct store_model_item, including deleted ones */
	GPtrArray *records; /* of struct store_model_record, oldest first */
	u64 revision;
};

/* Storage for the strings of a random change. */
struct store_model_buf {
	char name[16];
	char id[24];
	char json[32];
};

void store_model_init(struct store_model *n);
void store_model_clear(struct store_model *n);

/* store_model_change - applies C to the model alone, without its change id. */
struct store_result store_model_change(struct store_model *n, const struct store_change *c);

/* store_model_apply_both - applies C to store and model, whose results must be the same. */
void store_model_apply_both(struct store *s, struct store_model *n, const struct store_change *c);

/* store_model_random - a random change, whose strings are kept in B. */
struct store_change store_model_random(struct rng *rng, struct store_model *n,
				       struct store_model_buf *b);

void store_model_assert_result(const struct store_result *a, const struct store_result *b);
void store_model_assert_state(const struct store *s, struct store_model *n);

#endif
