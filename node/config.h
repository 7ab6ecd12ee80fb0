/*
 * config - a node's active configuration, an immutable snapshot
 *
 * Readers access the snapshot under RCU; the loop's thread publishes a new one
 * for each revision (config_build.h). A revision that is not above the current one is never
 * published.
 *
 * SOURCE node/config.c (snapshots), node/config_organisation.c (organisations), node/config_find.c
 * (look-ups)
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "lib/pmap.h"
#include "lib/res.h"
#include "lib/rng.h"
#include "lib/set.h"
#include "node/age.h"

struct config_service {
	u32 refs;
	struct res_service *res;
	u64 version; /* of a service that was declared on its own */
	char *health_path; /* of a service of the set; may be NULL */
	u64 cold_period_ms; /* of a service of the set, see struct set_service */
	u64 cold_milli_per_s;
	GArray *targets; /* of struct set_target: the routes to a service of the set, else NULL */
};

/* A service that gets a share of a route's requests, with the credit of weighted round robin. */
struct config_split {
	const char *service;
	u64 weight;
	i64 credit;
};

/* A route of the set, in one piece of memory, shared by all revisions in which it is the same. */
struct config_route {
	u32 refs;
	u32 parts_len;
	u64 hash; /* as set_route_hash */
	const char *key; /* as set_route_key */
	u64 timeout_ms;
	u64 target_ms;
	u32 attempts; /* maximum number of upstreams that one request is sent to */
	u32 priority;
	bool is_idempotent;
	bool is_anonymous;
	bool has_initial_credit;
	struct age age; /* estimates the age of callers' requests */
	struct config_split parts[];
};

/* An organisation of the set, shared by all revisions in which it is the same. */
struct config_organisation {
	u32 refs;
	char *name;
	u64 name_hash; /* pmap_hash */
	u64 hash; /* set_organisation_hash */
	bool has_priority;
	u32 priority;
	u64 rate_milli_per_s;
	u64 burst;
	GArray *keys; /* of struct set_digest */
};

/* The active set, shared between revisions until it changes. */
struct config_set {
	u32 refs;
	u64 version;
	u64 checksum; /* the sum of the hashes of its routes and services */
	struct set_limits limits;
	struct pmap routes; /* of struct config_route */
	struct pmap services; /* of struct config_service */
	struct pmap organisations; /* of struct config_organisation */
	struct pmap keys; /* digest -> its organisation */
	struct set_priorities priorities; /* of the organisations */
};

struct config {
	u64 revision;
	struct config_set *set; /* NULL before the first one */
	GHashTable *by_name; /* name -> struct config_service that was declared on its own */
	GHashTable *by_host; /* host -> struct config_service, not owned */
	GHashTable *evacuated; /* set of the evacuated zones, shared until it changes */
};

u64 config_revision(void);

/* config_read_lock, config_read_unlock - must enclose any use of config_current. */
void config_read_lock(void);
void config_read_unlock(void);

/* config_current - returns the snapshot, or NULL before the first one. */
const struct config *config_current(void);

/* config_is_evacuated - returns whether the upstreams of ZONE get no calls; C may be NULL. */
bool config_is_evacuated(const struct config *c, const char *zone);

/* config_service_names - returns copies of all service names, or NULL if there are above MAX. */
GPtrArray *config_service_names(u32 max);

/*
 * config_find_service_by_host - finds the service that declares HOST, or else the one named by
 * the first label of HOST. A port in HOST is ignored.
 */
const struct config_service *config_find_service_by_host(const struct config *c, const char *host);
const struct config_service *config_find_service(const struct config *c, const char *name);

/* config_find_set_service - returns the service NAME of the set, or NULL. */
const struct config_service *config_find_set_service(const struct config *c, const char *name);

/*
 * config_find_route - returns the route of HOST with the longest prefix of TARGET,
 * or NULL. A port in HOST is ignored.
 */
struct config_route *config_find_route(const struct config *c, const char *host,
				       const char *target);

/* config_needs_key - returns whether calls need a key, unless their route is anonymous. */
bool config_needs_key(const struct config *c);

/* config_find_organisation_by_key - returns the organisation that has KEY, or NULL. */
const struct config_organisation *config_find_organisation_by_key(const struct config *c,
								  const char *key);

/* config_find_organisation - returns the organisation whose name has this pmap_hash, or NULL. */
const struct config_organisation *config_find_organisation(const struct config *c, u64 name_hash);

/*
 * config_route_pick_service - returns the service for the next request of the route. Weighted
 * round robin keeps each part's share even over a few requests. Loop's thread only.
 */
const char *config_route_pick_service(struct config_route *r, struct rng *rng);

/* config_reset - discards the configuration; for tests and process shutdown. */
void config_reset(void);

#endif
