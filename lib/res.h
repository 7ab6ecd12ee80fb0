/*
 * res - declared resources: services and their ranks
 *
 * resources(5) describes the JSON format. res_parse reports every problem with
 * its JSON path.
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

/* Selects the requests of a rank: METHOD NULL matches any method, PATH is a prefix. */
struct res_match {
	char *method;
	char *path;
};

/* Whether requests of a rank may be executed twice, as declared. */
enum res_idempotency {
	/* not declared: GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent */
	RES_IDEMPOTENT_BY_METHOD,
	RES_IDEMPOTENT_NEVER,
	RES_IDEMPOTENT_ALWAYS,
};

struct res_rank {
	char *name;
	GPtrArray *matches; /* of struct res_match */
	enum res_idempotency idempotency;
	u32 target_ms;
	u32 worth;
	u32 floor_percent;
};

struct res_service {
	char *name;
	GPtrArray *hosts; /* of char */
	GPtrArray *ranks; /* of struct res_rank */
};

/* res_new, res_rank_new - return an empty service or rank; the rank takes ownership of NAME. */
struct res_service *res_new(void);
struct res_rank *res_rank_new(char *name);

/* res_parse - parses a service from JSON; returns NULL after adding findings. */
struct res_service *res_parse(const char *json, size_t len, struct findings *found);

/* res_dump - returns compact JSON with sorted keys, identical for equal services; g_free it. */
char *res_dump(const struct res_service *s);
void res_free(struct res_service *s);

/*
 * res_find_rank - returns the index of the first rank that matches, or -1. PATH must be
 * decoded, without dot segments, repeated slashes or a query.
 */
int res_find_rank(const struct res_service *s, const char *method, const char *path);

/* res_is_idempotent - returns whether a request of rank R with METHOD may be executed twice. */
bool res_is_idempotent(const struct res_rank *r, const char *method);

/*
 * res_shared_host - returns a host that both A and B declare, or NULL. Every node assigns
 * such a host to the service whose name sorts first.
 */
const char *res_shared_host(const struct res_service *a, const struct res_service *b);

/* res_is_valid_name - returns whether NAME has 1 to 63 letters, digits, '-' and '_'. */
bool res_is_valid_name(const char *name);

#endif
