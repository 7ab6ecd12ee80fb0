/*
 * config_impl - private declarations shared by the source files of config
 *
 * SOURCE node/config.c (snapshots), node/config_organisation.c (organisations), node/config_build.c
 * (the next one)
 */
#ifndef CONFIG_IMPL_H
#define CONFIG_IMPL_H

#include "node/config.h"

/* config_route_new - returns a route with the content of FROM. */
struct config_route *config_route_new(const struct set_route *from, u64 hash);
void config_route_ref(struct config_route *r);
void config_route_unref(struct config_route *r);

/* config_service_new - returns a service; takes ownership of RES. */
struct config_service *config_service_new(struct res_service *res);

/* config_service_unref - suits GHashTable. */
void config_service_unref(gpointer service);

/* config_organisations_init - prepares the maps of an empty set. */
void config_organisations_init(struct config_set *s);

/*
 * config_organisation_put - adds an organisation, or replaces the one of that name. Returns whether
 * the ranks of all services may have changed, as config_organisation_drop does.
 */
bool config_organisation_put(struct config_set *s, const struct set_organisation *from);

/* config_organisation_drop - removes an organisation and its keys. */
bool config_organisation_drop(struct config_set *s, struct config_organisation *o);

/* config_set_new - returns an empty set for NULL, else one that shares the content of FROM. */
struct config_set *config_set_new(const struct config_set *from);
void config_set_ref(struct config_set *s);
void config_set_unref(struct config_set *s);

/* config_publish - puts NEXT into force in place of the current snapshot, which it frees. */
void config_publish(struct config *next);

/* config_index_hosts - fills C->by_host. */
void config_index_hosts(struct config *c);

#endif
