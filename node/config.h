/*
 * config - the configuration in force at a node, an immutable snapshot
 *
 * Readers take the snapshot under RCU; the loop's thread publishes a new one
 * for each revision. A revision below the current one is never published.
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

/* A route of the set, with the credit of each part for the split. */
struct config_route {
	const struct set_route *route;
	i64 *credit;
	bool has_begun;
	struct age age; /* of its callers' requests */
};

/* The set in force; kept from revision to revision while it does not change. */
struct config_set {
	gint refs;
	struct set *set;
	char *text; /* as it was declared */
	GHashTable *routes; /* "host\nprefix" -> struct config_route */
	GHashTable *services; /* name -> struct config_service */
};

struct config {
	u64 revision;
	struct config_set *set; /* NULL before the first one */
	GHashTable *by_name; /* name -> struct config_service */
	GHashTable *by_host; /* host -> struct config_service, not owned */
};

/* One service as it came from a control process; JSON is NULL after a deletion. */
struct config_change {
	char *name;
	u64 version;
	char *json;
};

/* config_set_text - the set in force as it was declared, or NULL. Loop's thread only. */
const char *config_set_text(void);

/*
 * config_apply - publish REVISION: CHANGES on top of the current snapshot, or
 * instead of it when IS_SNAPSHOT. Loop's thread only. Returns 0, or
 * ERR_CONFLICT when REVISION is not above the current one.
 */
int config_apply(u64 revision, bool is_snapshot, GPtrArray *changes);
u64 config_revision(void);

/* config_read_lock, config_read_unlock - around the use of config_current. */
void config_read_lock(void);
void config_read_unlock(void);

/* config_current - the snapshot, or NULL before the first one. */
const struct config *config_current(void);

/* config_service_names - of all services, to be freed as an array; the names are copies. */
GPtrArray *config_service_names(void);

/* config_find_host - by declared host, else by the first label of HOST; port is ignored. */
const struct config_service *config_find_host(const struct config *c, const char *host);
const struct config_service *config_find(const struct config *c, const char *name);

/*
 * config_find_route - the route of HOST with the longest prefix that begins
 * TARGET, or NULL. A port in HOST is ignored.
 */
struct config_route *config_find_route(const struct config *c, const char *host,
				       const char *target);

/*
 * config_route_part - the service for the next request of the route: each part
 * gets its share by weight also over a few requests. Loop's thread only.
 */
const char *config_route_part(struct config_route *r, struct rng *rng);

void config_change_free(gpointer change);

/* config_reset - forget everything; for tests and the end of the process. */
void config_reset(void);

#endif
