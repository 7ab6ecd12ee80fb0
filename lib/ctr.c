#include "lib/ctr.h"

#include <string.h>

static u64 values[CTR_COUNT];

struct ctr_info {
	const char *name;
	const char *help;
};

static const struct ctr_info infos[CTR_COUNT] = {
#define CTR(id, name, help) [CTR_##id] = { name, help },
#include "lib/ctr_list.h"
#undef CTR
};

void ctr_add(enum ctr c, u64 n)
{
	__atomic_fetch_add(&values[c], n, __ATOMIC_RELAXED);
}

u64 ctr_get(enum ctr c)
{
	return __atomic_load_n(&values[c], __ATOMIC_RELAXED);
}

const char *ctr_name(enum ctr c)
{
	return infos[c].name;
}

enum ctr ctr_find(const char *name)
{
	for (int c = 0; c < CTR_COUNT; c++)
		if (!strcmp(infos[c].name, name))
			return c;
	return CTR_COUNT;
}

/* Prometheus metric names must not contain hyphens. */
static char *metric_name(const char *name)
{
	char *metric = g_strdup_printf("lavenderlead_%s_total", name);

	return g_strdelimit(metric, "-", '_');
}

void ctr_print(GString *out)
{
	for (int c = 0; c < CTR_COUNT; c++) {
		g_autofree char *metric = metric_name(infos[c].name);

		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s counter\n", metric,
				       infos[c].help, metric);
		g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", metric, ctr_get(c));
	}
}
