/*
 * config - a node's active configuration, an immutable snapshot
 *
 * Readers access the snapshot under RCU; the loop's thread publishes a new one
 * for each revision. A revision that is not above the current one is never published.
 *
 * SOURCE node/config.c
 */
#ifndef CONFIG_H
#define CONFIG_H

#include "lib/res.h"
#include "lib/rng.h"
#include "lib/set.h"
#include "node/age.h"

struct config_service {
	struct res_service *res;
	u64 version;
	gint refs;
};

/* A route of the set, with the credit of each part of its traffic split. */
struct config_route {
	const struct set_route *route;
	i64 *credit;
	bool has_initial_credit;
	struct age age; /* estimates the age of callers' requests */
};

/* The active set, shared between revisions until it changes. */
struct config_set {
	gint refs;
	struct set *set;
	char *text; /* as declared */
	GHashTable *routes; /* "host\nprefix" -> struct config_route */
	GHashTable *services; /* name -> struct config_service */
};

struct config {
	u64 revision;
	struct config_set *set; /* NULL before the first one */
	GHashTable *by_name; /* name -> struct config_service */
	GHashTable *by_host; /* host -> struct config_service, not owned */
};

/* A service as received from a control process; JSON is NULL if the service was deleted. */
struct config_change {
	char *name;
	u64 version;
	char *json;
};

/* config_set_text - returns the active set as declared, or NULL. Loop's thread only. */
const char *config_set_text(void);

/*
 * config_apply - publishes REVISION: CHANGES applied to the current snapshot, or
 * replacing it when IS_SNAPSHOT. Loop's thread only. Returns 0, or
 * ERR_CONFLICT when REVISION is not above the current one.
 */
int config_apply(u64 revision, bool is_snapshot, GPtrArray *changes);
u64 config_revision(void);

/* config_read_lock, config_read_unlock - must enclose any use of config_current. */
void config_read_lock(void);
void config_read_unlock(void);

/* config_current - returns the snapshot, or NULL before the first one. */
const struct config *config_current(void);

/* config_service_names - returns copies of all service names; the caller frees the array. */
GPtrArray *config_service_names(void);

/*
 * config_find_service_by_host - finds the service that declares HOST, or else the one named by
 * the first label of HOST. A port in HOST is ignored.
 */
const struct config_service *config_find_service_by_host(const struct config *c, const char *host);
const struct config_service *config_find_service(const struct config *c, const char *name);

/*
 * config_find_route - returns the route of HOST with the longest prefix of TARGET,
 * or NULL. A port in HOST is ignored.
 */
struct config_route *config_find_route(const struct config *c, const char *host,
				       const char *target);

/*
 * config_route_pick_service - returns the service for the next request of the route. Weighted
 * round robin keeps each part's share even over a few requests. Loop's thread only.
 */
const char *config_route_pick_service(struct config_route *r, struct rng *rng);

void config_change_free(gpointer change);

/* config_reset - discards the configuration; for tests and process shutdown. */
void config_reset(void);

#endif
