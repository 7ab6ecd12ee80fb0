#include "kernel/krn.h"

#include "lib/err.h"
#include "lib/log.h"

#include <string.h>

void krn_init(struct krn *k)
{
	k->services = g_ptr_array_new();
	k->started = g_ptr_array_new();
}

void krn_clear(struct krn *k)
{
	g_ptr_array_unref(k->services);
	g_ptr_array_unref(k->started);
}

void krn_add(struct krn *k, struct krn_service *s)
{
	g_ptr_array_add(k->services, s);
}

void *krn_find(const struct krn *k, const char *name)
{
	for (guint i = 0; i < k->services->len; i++) {
		struct krn_service *s = g_ptr_array_index(k->services, i);

		if (!strcmp(s->ops->name, name))
			return s;
	}
	return NULL;
}

/* DEPTH bounds the recursion, so that a circle of needs ends in an error. */
static int start_one(struct krn *k, struct krn_service *s, guint depth)
{
	int err;

	if (s->is_started)
		return 0;
	if (depth > k->services->len)
		return ERR_INVAL;
	for (const char *const *need = s->ops->needs; need && *need; need++) {
		struct krn_service *other = krn_find(k, *need);

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

int krn_start(struct krn *k)
{
	for (guint i = 0; i < k->services->len; i++) {
		int err = start_one(k, g_ptr_array_index(k->services, i), 0);

		if (err) {
			krn_stop(k);
			return err;
		}
	}
	return 0;
}

void krn_reload(struct krn *k, const struct settings *settings)
{
	for (guint i = 0; i < k->started->len; i++) {
		struct krn_service *s = g_ptr_array_index(k->started, i);

		if (s->ops->reload)
			s->ops->reload(s, settings);
	}
}

void krn_stop(struct krn *k)
{
	while (k->started->len) {
		struct krn_service *s = g_ptr_array_index(k->started, k->started->len - 1);

		s->ops->stop(s);
		s->is_started = FALSE;
		g_ptr_array_set_size(k->started, (gint)k->started->len - 1);
	}
}
