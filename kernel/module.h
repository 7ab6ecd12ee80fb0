/*
 * krn - the micro-kernel: named services, started and stopped in order of need
 *
 * A service is a struct whose first member is struct module. Services
 * find each other with module_find.
 *
 * SOURCE kernel/module.c
 */
#ifndef MODULE_H
#define MODULE_H

#include <glib.h>

struct module_registry;
struct module;
struct settings;

struct module_ops {
	const char *name;
	const char *const *needs; /* names of services, ended by NULL; may be NULL */
	int (*start)(struct module *s, struct module_registry *k);
	void (*stop)(struct module *s); /* finishes the work in progress first */
	/*
	 * Takes other settings; what they may change is up to the caller. The old ones are in use
	 * until it returns. May be NULL.
	 */
	void (*reload)(struct module *s, const struct settings *settings);
};

struct module {
	const struct module_ops *ops;
	gboolean is_started;
};

struct module_registry {
	GPtrArray *services; /* in order of registration */
	GPtrArray *started; /* in order of start */
};

void module_registry_init(struct module_registry *k);
void module_registry_clear(struct module_registry *k);
void module_add(struct module_registry *k, struct module *s);

/* module_find - the service called NAME, or NULL. */
void *module_find(const struct module_registry *k, const char *name);

/*
 * module_start_all - start all services, each after those that it needs.
 * Returns 0, ERR_NOTFOUND for a need that no service meets, or the error of
 * the service that failed; services already started are stopped again.
 */
int module_start_all(struct module_registry *k);

/* module_reload_all - hand other settings to the started services. */
void module_reload_all(struct module_registry *k, const struct settings *settings);

/* module_stop_all - stop the started services in the reverse order. */
void module_stop_all(struct module_registry *k);

#endif
