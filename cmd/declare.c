#include "cmd/declare.h"

#include <string.h>

static bool has_service(GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		const struct res_service *s = g_ptr_array_index(list, i);

		if (!strcmp(s->name, name))
			return true;
	}
	return false;
}

static void load_file(const char *path, GPtrArray *list, struct findings *found)
{
	FINDINGS_AUTO(file_findings);
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	struct res_service *s;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		findings_add(found, path, "cannot read: %s", error->message);
		return;
	}
	s = res_parse(text, len, &file_findings);
	for (guint i = 0; i < findings_listed(&file_findings); i++) {
		const struct finding *f = findings_at(&file_findings, i);
		g_autofree char *place = g_strdup_printf("%s:%s", path, f->place);

		findings_add(found, place, "%s", f->text);
	}
	if (!s)
		return;
	if (has_service(list, s->name)) {
		findings_add(found, path, "the service \"%s\" is declared twice", s->name);
		res_free(s);
		return;
	}
	g_ptr_array_add(list, s);
}

/* Nodes route a host to one service only; the other that claims it would get no calls. */
static void check_host_conflicts(const char *path, GPtrArray *list, struct findings *found)
{
	for (guint i = 0; i < list->len; i++) {
		for (guint j = 0; j < i; j++) {
			const struct res_service *a = g_ptr_array_index(list, j);
			const struct res_service *b = g_ptr_array_index(list, i);
			const char *host = res_shared_host(a, b);

			if (host)
				findings_add(found, path,
					     "the services \"%s\" and \"%s\" claim the host %s",
					     a->name, b->name, host);
		}
	}
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void load_directory(const char *path, GPtrArray *list, struct findings *found)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".json"))
			g_ptr_array_add(names, g_build_filename(path, name, NULL));
	g_ptr_array_sort(names, by_name);
	if (!names->len)
		findings_add(found, path, "no *.json file in this directory");
	for (guint i = 0; i < names->len; i++)
		load_file(g_ptr_array_index(names, i), list, found);
}

GPtrArray *declare_load(const char *path, struct findings *found)
{
	GPtrArray *list = g_ptr_array_new_with_free_func((GDestroyNotify)res_free);

	if (g_file_test(path, G_FILE_TEST_IS_DIR))
		load_directory(path, list, found);
	else
		load_file(path, list, found);
	check_host_conflicts(path, list, found);
	return list;
}
