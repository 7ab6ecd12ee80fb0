#include "kernel/module.h"

#include "lib/err.h"
#include "lib/log.h"

#include <string.h>

void module_registry_init(struct module_registry *r)
{
	r->modules = g_ptr_array_new();
	r->started = g_ptr_array_new();
}

void module_registry_clear(struct module_registry *r)
{
	g_ptr_array_unref(r->modules);
	g_ptr_array_unref(r->started);
}

void module_add(struct module_registry *r, struct module *m)
{
	g_ptr_array_add(r->modules, m);
}

void *module_find(const struct module_registry *r, const char *name)
{
	for (guint i = 0; i < r->modules->len; i++) {
		struct module *m = g_ptr_array_index(r->modules, i);

		if (!strcmp(m->ops->name, name))
			return m;
	}
	return NULL;
}

/* DEPTH bounds the recursion, so that circular dependencies end in an error. */
static int start_one(struct module_registry *r, struct module *m, guint depth)
{
	int err;

	if (m->is_started)
		return 0;
	if (depth > r->modules->len)
		return ERR_INVAL;
	for (const char *const *name = m->ops->dependencies; name && *name; name++) {
		struct module *dependency = module_find(r, *name);

		if (!dependency)
			return ERR_NOTFOUND;
		err = start_one(r, dependency, depth + 1);
		if (err)
			return err;
	}
	err = m->ops->start(m, r);
	if (err) {
		log_event(LOG_ERROR, "module failed to start", "service", m->ops->name, "error",
			  err_text(err), NULL);
		return err;
	}
	m->is_started = TRUE;
	g_ptr_array_add(r->started, m);
	return 0;
}

int module_start_all(struct module_registry *r)
{
	for (guint i = 0; i < r->modules->len; i++) {
		int err = start_one(r, g_ptr_array_index(r->modules, i), 0);

		if (err) {
			module_stop_all(r);
			return err;
		}
	}
	return 0;
}

void module_reload_all(struct module_registry *r, const struct settings *settings)
{
	for (guint i = 0; i < r->started->len; i++) {
		struct module *m = g_ptr_array_index(r->started, i);

		if (m->ops->reload)
			m->ops->reload(m, settings);
	}
}

void module_stop_all(struct module_registry *r)
{
	while (r->started->len) {
		struct module *m = g_ptr_array_index(r->started, r->started->len - 1);

		m->ops->stop(m);
		m->is_started = FALSE;
		g_ptr_array_set_size(r->started, (gint)r->started->len - 1);
	}
}
