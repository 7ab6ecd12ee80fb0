/*
 * announcement - what an upstream says of itself to the node beside it
 *
 * An announcement in which anything is wrong names no upstream, also by the rest of it: it may be
 * that of another writer.
 *
 * UNITS milliseconds
 * SOURCE node/announcement.c
 */
#ifndef ANNOUNCEMENT_H
#define ANNOUNCEMENT_H

#include "lib/set.h"
#include "lib/types.h"
#include "wire/endpoint.h"

#include <jansson.h>

/* With the terminating NUL. */
#define ANNOUNCEMENT_NAME_BYTES (SET_TEXT_MAX_BYTES + 1)

struct announcement {
	char service[ANNOUNCEMENT_NAME_BYTES];
	char instance[ANNOUNCEMENT_NAME_BYTES]; /* "" when not given */
	struct endpoint at;
	json_int_t slots;
	json_int_t connections;
	json_int_t born; /* start time of the instance; 0 when not given */
	json_int_t sequence; /* 0 when not given */
	bool has_cold; /* it says how long the upstream is cold: */
	u64 cold_ms;
	bool is_draining;
	bool has_details;
};

/*
 * announcement_parse - fills in A from OBJ, which may be NULL. OWN_SERVICE is the one that the
 * settings name, or NULL for any. Returns NULL, or the key whose value is missing or invalid.
 */
const char *announcement_parse(struct announcement *a, json_t *obj, const char *own_service);

/* announcement_parse_instance - the same for that of INSTANCE, which has more fields. */
const char *announcement_parse_instance(struct announcement *a, json_t *obj, const char *instance,
					const char *own_service);

/*
 * announcement_is_instance_name - returns whether TEXT can name an instance. The name is sent in a
 * header, which it must not end.
 */
bool announcement_is_instance_name(const char *text);

#endif
