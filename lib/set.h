/*
 * set - a complete configuration that is declared and replaced as a unit
 *
 * A set contains services, the routes that lead to them, and limits for callers.
 * Its JSON format is described in resources(5). set_parse reports every problem
 * with its JSON path. Unknown keys are ignored, since later versions may add keys.
 *
 * UNITS milliseconds, bytes
 * SOURCE lib/set.c
 */
#ifndef SET_H
#define SET_H

#include "lib/findings.h"
#include "lib/res.h"
#include "lib/types.h"

#include <glib.h>

/* A set is sent in one frame. */
#define SET_JSON_MAX_BYTES (8 * 1024 * 1024)
/* The resource name of a stored set; no service can have this name. */
#define SET_NAME "/set"
/* The worth of priority 0; it decreases by 1 with each following priority. */
#define SET_WORTH_MAX 1000

/* A service that gets a share of a route's requests, by weight. */
struct set_split_part {
	char *service;
	u64 weight;
};

struct set_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	GArray *parts; /* of struct set_split_part; at least one, sum of weights above 0 */
	bool is_idempotent;
	u32 attempts; /* maximum number of upstreams that one request is sent to */
	u64 timeout_ms;
	u64 target_ms;
	u32 priority; /* 0 is the highest */
};

struct set_service {
	char *name;
	char *health_path; /* may be NULL */
	u32 connections; /* maximum per upstream; 0 if not declared */
};

struct set_limits {
	u32 head_bytes; /* 0 means not set, in all of these fields */
	u64 body_bytes;
	u64 head_timeout_ms;
	u64 idle_timeout_ms;
};

struct set {
	u64 version;
	GPtrArray *routes; /* of struct set_route */
	GPtrArray *services; /* of struct set_service */
	struct set_limits limits;
};

/* set_parse - returns the set that JSON describes, or NULL with findings. */
struct set *set_parse(const char *json, size_t len, struct findings *found);
void set_free(struct set *s);

/* set_worth_of_priority - returns the worth of the rank for PRIORITY, at least 1. */
u32 set_worth_of_priority(u32 priority);

/* set_route_key - returns HOST in lower case, a newline and PREFIX; to be freed with g_free. */
char *set_route_key(const char *host, const char *prefix);

/* set_rank_name_of_priority - returns the rank name for PRIORITY; to be freed with g_free. */
char *set_rank_name_of_priority(u32 priority);

/*
 * set_add_rank - adds a rank for the priority of ROUTE to the service. The target
 * of a rank is the shortest target of its routes.
 */
void set_add_rank(struct res_service *s, const struct set_route *route);

#endif
