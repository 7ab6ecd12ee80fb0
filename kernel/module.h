/*
 * module - a registry of named modules, started and stopped in dependency order
 *
 * A module is a struct whose first member is struct module. Modules look each
 * other up with module_find.
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
	const char *const *dependencies; /* module names, NULL-terminated; may be NULL */
	int (*start)(struct module *m, struct module_registry *r);
	void (*stop)(struct module *m); /* completes the work in progress first */
	/*
	 * Applies new settings. The caller checks which settings may change at run time, and keeps
	 * the old settings valid until this returns. May be NULL.
	 */
	void (*reload)(struct module *m, const struct settings *settings);
};

struct module {
	const struct module_ops *ops;
	gboolean is_started;
};

struct module_registry {
	GPtrArray *modules; /* of struct module, in registration order */
	GPtrArray *started; /* of struct module, in start order */
};

void module_registry_init(struct module_registry *r);
void module_registry_clear(struct module_registry *r);
void module_add(struct module_registry *r, struct module *m);

/* module_find - returns the module called NAME, or NULL. */
void *module_find(const struct module_registry *r, const char *name);

/*
 * module_start_all - starts all modules, each after its dependencies.
 * Returns 0, ERR_NOTFOUND if a dependency is not registered, ERR_INVAL if the
 * dependencies are circular, or the error of the module that failed to start.
 * After an error the modules that were started are stopped.
 */
int module_start_all(struct module_registry *r);

/* module_reload_all - passes new settings to all started modules. */
void module_reload_all(struct module_registry *r, const struct settings *settings);

/* module_stop_all - stops the started modules in reverse start order. */
void module_stop_all(struct module_registry *r);

#endif
