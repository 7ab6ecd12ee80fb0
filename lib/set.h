/*
 * set - a complete configuration that is declared and replaced as a unit
 *
 * A set contains services, the routes that lead to them, and limits for callers.
 * Its JSON format is described in resources(5). set_parse reports every problem
 * with its JSON path. Unknown keys are ignored, since later versions may add keys.
 *
 * UNITS milliseconds, bytes
 * SOURCE lib/set.c, lib/set_organisation.c, lib/set_ranks.c, lib/set_reuse.c
 */
#ifndef SET_H
#define SET_H

#include "lib/findings.h"
#include "lib/res.h"
#include "lib/types.h"

#include <glib.h>

/* A set is one entry of the replicated log. */
#define SET_JSON_MAX_BYTES (8 * 1024 * 1024)
/* Bound of each name, host and path; frames and announcements take as much. */
#define SET_TEXT_MAX_BYTES 1024
/* The resource name of a stored set; no service can have this name. */
#define SET_NAME "/set"
/* The worth of priority 0; it decreases by 1 with each following priority. */
#define SET_WORTH_MAX 1000
/*
 * In a set with organisations, calls without a key are those that upstreams make for calls that
 * were admitted before. They come first: when one fails, the work of its parent is lost.
 */
#define SET_NESTED_WORTH (SET_WORTH_MAX + 1)
#define SET_NESTED_RANK "nested"
/* Bytes of the SHA-256 of a key that are kept. */
#define SET_DIGEST_BYTES 16
#define SET_DIGEST_TEXT_BYTES (2 * SET_DIGEST_BYTES + 1)

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
	bool is_anonymous; /* needs no key in a set with organisations */
	u32 attempts; /* maximum number of upstreams that one request is sent to */
	u64 timeout_ms;
	u64 target_ms;
	u32 priority; /* 0 is the highest */
	u32 refs;
	u64 text_hash[2]; /* of its JSON; 0 if it is not known */
	u64 key_hash; /* set_route_key_hash and set_route_hash, where they were needed; else 0 */
	u64 hash;
};

/* The number of routes to a service that have the same access, priority and target. */
struct set_target {
	bool is_anonymous;
	u32 priority;
	u32 target_ms;
	u32 routes;
};

struct set_service {
	char *name;
	char *health_path; /* may be NULL */
	u32 connections; /* maximum per upstream; 0 if not declared */
	u64 cold_period_ms; /* how long an upstream is cold after its start; 0: not at all */
	u64 cold_milli_per_s; /* calls that a cold one takes, in thousandths per second */
};

/* The first bytes of the SHA-256 of a key, as hexadecimal text. */
struct set_digest {
	char text[SET_DIGEST_TEXT_BYTES];
};

/* Whose callers have keys, and how many calls they may make. */
struct set_organisation {
	char *name;
	GArray *keys; /* of struct set_digest */
	bool has_priority; /* else its calls have the priority of their route */
	u32 priority;
	u64 rate_milli_per_s; /* 0 together with BURST: no limit */
	u64 burst; /* calls beyond the rate */
};

/* How many organisations have each priority, which replaces that of the routes. */
struct set_priorities {
	bool is_used; /* the set has a list of organisations */
	GArray *counts; /* of struct set_priority, ascending */
	u32 without; /* organisations that have none */
};

struct set_priority {
	u32 priority;
	u32 organisations;
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
	GPtrArray *organisations; /* of struct set_organisation; NULL if the set has no list */
	struct set_limits limits;
};

/* set_parse - returns the set that JSON describes, or NULL with findings. */
struct set *set_parse(const char *json, size_t len, struct findings *found);

/*
 * set_parse_accepted - the same for a text that was accepted, maybe by a version that bounded no
 * nesting: what is nested too deep is not part of a set.
 */
struct set *set_parse_accepted(const char *json, size_t len, struct findings *found);
void set_free(struct set *s);

/*
 * set_parse_after - like set_parse_accepted: the routes whose JSON
 * is that of a route of PREVIOUS, which may be NULL, are not parsed but shared.
 */
struct set *set_parse_after(const struct set *previous, const char *json, size_t len,
			    struct findings *found);

/* set_new_routes - returns an empty list of routes that drops its references. */
GPtrArray *set_new_routes(void);

/* set_route_new - returns a route without texts and parts. */
struct set_route *set_route_new(void);
struct set_route *set_route_ref(struct set_route *r);

/* set_route_free - drops a reference. */
void set_route_free(struct set_route *r);

/* set_route_add_part - adds a part; takes ownership of SERVICE. */
void set_route_add_part(struct set_route *r, char *service, u64 weight);
void set_service_free(struct set_service *s);

/* set_organisation_new - returns an organisation without a name. */
struct set_organisation *set_organisation_new(void);
void set_organisation_free(struct set_organisation *o);

/* set_digest_of_key - returns the digest by which KEY is known. */
struct set_digest set_digest_of_key(const char *key);

/* set_worth_of_priority - returns the worth of the rank for PRIORITY, at least 1. */
u32 set_worth_of_priority(u32 priority);

/* set_route_key - returns HOST in lower case, a newline and PREFIX; to be freed with g_free. */
char *set_route_key(const char *host, const char *prefix);

/* set_rank_name_of_priority - returns the rank name for PRIORITY; to be freed with g_free. */
char *set_rank_name_of_priority(u32 priority);

/*
 * set_target_add, set_target_remove - count a route to a service in TARGETS, an array of struct
 * set_target in ascending order; ROUTES of T is ignored. set_target_remove returns false if no such
 * route was counted.
 */
void set_target_add(GArray *targets, const struct set_target *t);
bool set_target_remove(GArray *targets, const struct set_target *t);

/*
 * set_priorities_add, set_priorities_remove - count an organisation. They return whether the ranks
 * of all services may have changed. set_priorities_remove ignores what was not counted.
 */
bool set_priorities_add(struct set_priorities *p, bool has_priority, u32 priority);
bool set_priorities_remove(struct set_priorities *p, bool has_priority, u32 priority);
void set_priorities_copy(struct set_priorities *to, const struct set_priorities *from);
void set_priorities_clear(struct set_priorities *p);

/*
 * set_make_ranks - replaces the ranks of the service by those of TARGETS: one for each worth, the
 * highest RES_RANKS_MAX. The target of a rank is the shortest target of its routes; that of an
 * organisation's priority is the shortest of all routes that need a key. PRIORITIES may be NULL.
 */
void set_make_ranks(struct res_service *s, const GArray *targets,
		    const struct set_priorities *priorities);

#endif
