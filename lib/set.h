/*
 * set - a whole configuration that is declared and replaced as one
 *
 * A set names services, the routes that lead to them, and limits for callers.
 * Its JSON form is described in resources(5). set_parse reports every problem
 * with its JSON path. Keys that are not known are left to later versions.
 *
 * UNITS milliseconds, bytes
 * SOURCE lib/set.c
 */
#ifndef SET_H
#define SET_H

#include "lib/find.h"
#include "lib/res.h"
#include "lib/types.h"

#include <glib.h>

/* A set travels in one frame. */
#define SET_JSON_MAX_BYTES (8 * 1024 * 1024)
/* The resource name under which a set is stored; no service can have it. */
#define SET_NAME "/set"
/* Priority 0 has this worth, each further one 1 less. */
#define SET_WORTH_MAX 1000

/* A part of a route's requests, by weight. */
struct set_split_part {
	char *service;
	u64 weight;
};

struct set_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	GArray *parts; /* of struct set_split_part, at least one; weights sum to more than 0 */
	bool is_idempotent;
	u32 attempts; /* upstreams that one request may be sent to */
	u64 timeout_ms;
	u64 target_ms;
	u32 priority; /* 0 is the most urgent */
};

struct set_service {
	char *name;
	char *health_path; /* may be NULL */
	u32 connections; /* that an upstream takes; 0 when not told */
};

struct set_limits {
	u32 head_bytes; /* 0: not set, as for all of these */
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

/* set_parse - a set from JSON, or NULL with findings. */
struct set *set_parse(const char *json, size_t len, struct findings *found);
void set_free(struct set *s);

u32 set_worth_of_priority(u32 priority);

/* set_route_key - host and prefix of a route as one text, PREFIX last; to be freed. */
char *set_route_key(const char *host, const char *prefix);

/* set_rank_name_of_priority - the rank that routes of PRIORITY have at their services; to be freed.
 */
char *set_rank_name_of_priority(u32 priority);

/*
 * set_add_rank - give the service a rank for the priority of ROUTE. The most
 * hurried route of a priority sets the target of its rank.
 */
void set_add_rank(struct res_service *s, const struct set_route *route);

#endif
