/*
 * res - the declared resources: services and their ranks
 *
 * The JSON form is described in resources(5). res_parse reports every
 * problem with its JSON path.
 *
 * UNITS milliseconds, percent
 * SOURCE lib/res.c
 */
#ifndef RES_H
#define RES_H

#include "lib/findings.h"
#include "lib/types.h"

#include <glib.h>

#define RES_RANKS_MAX 32
#define RES_HOSTS_MAX 64
#define RES_MATCHES_MAX 64
#define RES_JSON_MAX_BYTES (256 * 1024)

/* Requests that belong to a rank: METHOD may be NULL for any, PATH is a prefix. */
struct res_match {
	char *method;
	char *path;
};

/* What the declaration says on running a request of the rank twice. */
enum res_idempotency {
	RES_IDEMPOTENT_BY_METHOD, /* nothing: GET, HEAD, OPTIONS, TRACE, PUT and DELETE may repeat
				   */
	RES_IDEMPOTENT_NEVER,
	RES_IDEMPOTENT_ALWAYS,
};

struct res_rank {
	char *name;
	GPtrArray *matches; /* of struct res_match */
	enum res_idempotency repeat;
	u32 target_ms;
	u32 worth;
	u32 floor_percent;
};

struct res_service {
	char *name;
	GPtrArray *hosts; /* of char */
	GPtrArray *ranks; /* of struct res_rank */
};

/* res_new, res_rank_new - empty ones; the rank takes NAME. */
struct res_service *res_new(void);
struct res_rank *res_rank_new(char *name);

/* res_parse - a service from JSON, or NULL with findings. */
struct res_service *res_parse(const char *json, size_t len, struct findings *found);

/* res_dump - compact JSON with sorted keys, the same text for equal services; g_free it. */
char *res_dump(const struct res_service *s);
void res_free(struct res_service *s);

/*
 * res_find_rank - index of the first rank that matches, or -1. PATH is decoded,
 * without dot segments, doubled slashes or a query part.
 */
int res_find_rank(const struct res_service *s, const char *method, const char *path);

/* res_is_idempotent - true when a request of rank R with METHOD may run twice. */
bool res_is_idempotent(const struct res_rank *r, const char *method);

/*
 * res_shared_host - the host that A and B both claim, or NULL. Of two services
 * that claim a host the one whose name sorts first has it, at every node.
 */
const char *res_shared_host(const struct res_service *a, const struct res_service *b);

/* res_is_valid_name - true for a usable service name: letters, digits, '-' and '_', at most 63. */
bool res_is_valid_name(const char *name);

#endif
