/*
 * config_build - the next configuration of a node, built step by step while another one is in force
 *
 * It starts as the one in force, or from nothing, and shares with it what does not change: the
 * routes keep their credit and their estimate of the age of requests. Each step takes time that
 * depends on the step alone. On the loop's thread only.
 *
 * ERRORS ERR_CONFLICT if a step does not fit the configuration that it starts from, ERR_INVAL for
 * invalid JSON
 * SOURCE node/config_build.c
 */
#ifndef CONFIG_BUILD_H
#define CONFIG_BUILD_H

#include "lib/set.h"
#include "lib/types.h"

struct config_build;

/*
 * config_build_new - begins REVISION from revision BASE, or from nothing if BASE is 0. Returns NULL
 * if BASE is not in force.
 */
struct config_build *config_build_new(u64 revision, u64 base);
void config_build_free(struct config_build *b);
u64 config_build_revision(const struct config_build *b);
u64 config_build_base(const struct config_build *b);

/* config_build_declare - adds or replaces a service that was declared on its own. */
int config_build_declare(struct config_build *b, u64 version, const char *json);

/* config_build_undeclare - removes a service that was declared on its own, if there is one. */
void config_build_undeclare(struct config_build *b, const char *name);

/*
 * config_build_set - sets the version and the limits of the set, and whether it has a list of
 * organisations. Needed before the steps below.
 */
void config_build_set(struct config_build *b, u64 version, const struct set_limits *limits,
		      bool has_organisations);

/* config_build_service, config_build_route - add or replace a service or a route of the set. */
int config_build_service(struct config_build *b, const struct set_service *s);
int config_build_route(struct config_build *b, const struct set_route *r);

/* config_build_drop_service - removes the service, to which no route leads, by its pmap_hash. */
int config_build_drop_service(struct config_build *b, u64 name_hash);

/* config_build_drop_route - removes the route by its set_route_key_hash. */
int config_build_drop_route(struct config_build *b, u64 key_hash);

/* config_build_organisation - adds or replaces an organisation of the set. */
int config_build_organisation(struct config_build *b, const struct set_organisation *o);

/* config_build_drop_organisation - removes the organisation by the pmap_hash of its name. */
int config_build_drop_organisation(struct config_build *b, u64 name_hash);

/* config_build_evacuate, config_build_restore - the upstreams of ZONE get no calls, or may again.
 */
void config_build_evacuate(struct config_build *b, const char *zone);
void config_build_restore(struct config_build *b, const char *zone);

/*
 * config_build_settle - computes the ranks of the services whose routes, or the priorities of
 * organisations, have changed. To be called after some steps and before config_build_publish.
 */
void config_build_settle(struct config_build *b);

/* What the set must consist of at the end. */
struct config_sums {
	u64 checksum;
	u64 routes;
	u64 services;
	u64 organisations;
};

/* config_build_matches - returns whether the set consists of what SUMS says. */
bool config_build_matches(const struct config_build *b, const struct config_sums *sums);

/*
 * config_build_publish - puts the configuration into force and frees B, in any case. Returns 0, or
 * ERR_CONFLICT when its revision is not above the current one.
 */
int config_build_publish(struct config_build *b);

#endif
