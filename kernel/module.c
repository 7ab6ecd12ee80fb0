#include "kernel/module.h"

#include "lib/err.h"
#include "lib/log.h"

#include <string.h>

void module_registry_init(struct module_registry *k)
{
	k->services = g_ptr_array_new();
	k->started = g_ptr_array_new();
}

void module_registry_clear(struct module_registry *k)
{
	g_ptr_array_unref(k->services);
	g_ptr_array_unref(k->started);
}

void module_add(struct module_registry *k, struct module *s)
{
	g_ptr_array_add(k->services, s);
}

void *module_find(const struct module_registry *k, const char *name)
{
	for (guint i = 0; i < k->services->len; i++) {
		struct module *s = g_ptr_array_index(k->services, i);

		if (!strcmp(s->ops->name, name))
			return s;
	}
	return NULL;
}

/* DEPTH bounds the recursion, so that a circle of needs ends in an error. */
static int start_one(struct module_registry *k, struct module *s, guint depth)
{
	int err;

	if (s->is_started)
		return 0;
	if (depth > k->services->len)
		return ERR_INVAL;
	for (const char *const *need = s->ops->needs; need && *need; need++) {
		struct module *other = module_find(k, *need);

		if (!other)
			return ERR_NOTFOUND;
		err = start_one(k, other, depth + 1);
		if (err)
			return err;
	}
	err = s->ops->start(s, k);
	if (err) {
		log_event(LOG_ERROR, "service did not start", "service", s->ops->name, "error",
			  err_text(err), NULL);
		return err;
	}
	s->is_started = TRUE;
	g_ptr_array_add(k->started, s);
	return 0;
}

int module_start_all(struct module_registry *k)
{
	for (guint i = 0; i < k->services->len; i++) {
		int err = start_one(k, g_ptr_array_index(k->services, i), 0);

		if (err) {
			module_stop_all(k);
			return err;
		}
	}
	return 0;
}

void module_reload_all(struct module_registry *k, const struct settings *settings)
{
	for (guint i = 0; i < k->started->len; i++) {
		struct module *s = g_ptr_array_index(k->started, i);

		if (s->ops->reload)
			s->ops->reload(s, settings);
	}
}

void module_stop_all(struct module_registry *k)
{
	while (k->started->len) {
		struct module *s = g_ptr_array_index(k->started, k->started->len - 1);

		s->ops->stop(s);
		s->is_started = FALSE;
		g_ptr_array_set_size(k->started, (gint)k->started->len - 1);
	}
}
