#include "lib/findings.h"

#include <stdarg.h>

static void finding_free(gpointer p)
{
	struct finding *one = p;

	g_free(one->place);
	g_free(one->text);
	g_free(one);
}

void findings_init(struct findings *f)
{
	f->list = g_ptr_array_new_with_free_func(finding_free);
	f->count = 0;
}

void findings_clear(struct findings *f)
{
	if (f->list)
		g_ptr_array_unref(f->list);
	f->list = NULL;
}

guint findings_count(const struct findings *f)
{
	return f->count;
}

guint findings_listed(const struct findings *f)
{
	return f->list->len;
}

guint findings_left_out(const struct findings *f)
{
	return f->count - f->list->len;
}

const struct finding *findings_at(const struct findings *f, guint i)
{
	return g_ptr_array_index(f->list, i);
}

void findings_add(struct findings *f, const char *place, const char *fmt, ...)
{
	struct finding *one;
	va_list ap;

	if (f->count++ >= FINDINGS_MAX)
		return;
	one = g_new0(struct finding, 1);
	va_start(ap, fmt);
	one->place = g_strdup(place);
	one->text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(f->list, one);
}

void findings_print(const struct findings *f, FILE *out)
{
	for (guint i = 0; i < f->list->len; i++) {
		const struct finding *one = findings_at(f, i);

		fprintf(out, "%s: %s\n", one->place, one->text);
	}
	if (findings_left_out(f))
		fprintf(out, "and %u more\n", findings_left_out(f));
}
