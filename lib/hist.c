#include "lib/hist.h"

#include <pthread.h>
#include <string.h>

#define METRIC "lavenderlead_call_seconds"

static const u64 bounds_us[] = { 500,	 1000,	 1500,	 2500,	  5000,	   10000,   25000,   50000,
				 100000, 250000, 500000, 1000000, 2500000, 5000000, 10000000 };

#define BOUNDS G_N_ELEMENTS(bounds_us)

/* The last bucket counts everything above the highest bound. */
struct hist {
	char *labels; /* in the text exposition format */
	u64 buckets[BOUNDS + 1];
	u64 sum_us;
};

static pthread_mutex_t hist_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *series; /* labels -> struct hist */

static void hist_free(gpointer p)
{
	struct hist *h = p;

	g_free(h->labels);
	g_free(h);
}

static struct hist *insert_series(const char *labels)
{
	struct hist *h = g_new0(struct hist, 1);

	h->labels = g_strdup(labels);
	g_hash_table_insert(series, h->labels, h);
	return h;
}

/* Called with hist_lock held. */
static struct hist *find_series(const char *service, const char *rank)
{
	static const char other[] = "service=\"other\",rank=\"other\"";
	g_autofree char *labels = g_strdup_printf("service=\"%s\",rank=\"%s\"", service, rank);
	const char *key = labels;
	struct hist *h;

	if (!series)
		series = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, hist_free);
	h = g_hash_table_lookup(series, key);
	if (!h && g_hash_table_size(series) >= HIST_SERIES_MAX - 1) {
		key = other;
		h = g_hash_table_lookup(series, key);
	}
	return h ? h : insert_series(key);
}

static size_t bucket_of(u64 time_us)
{
	size_t i = 0;

	while (i < BOUNDS && time_us > bounds_us[i])
		i++;
	return i;
}

void hist_record(const char *service, const char *rank, u64 time_us)
{
	struct hist *h;

	pthread_mutex_lock(&hist_lock);
	h = find_series(service, rank);
	h->buckets[bucket_of(time_us)]++;
	h->sum_us += time_us;
	pthread_mutex_unlock(&hist_lock);
}

static void print_series(GString *out, const struct hist *h)
{
	u64 count = 0;

	for (size_t i = 0; i < BOUNDS; i++) {
		count += h->buckets[i];
		g_string_append_printf(out, METRIC "_bucket{%s,le=\"%g\"} %" G_GUINT64_FORMAT "\n",
				       h->labels, (double)bounds_us[i] / US_PER_S, count);
	}
	count += h->buckets[BOUNDS];
	g_string_append_printf(out, METRIC "_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
			       h->labels, count);
	g_string_append_printf(out, METRIC "_sum{%s} %.6f\n", h->labels,
			       (double)h->sum_us / US_PER_S);
	g_string_append_printf(out, METRIC "_count{%s} %" G_GUINT64_FORMAT "\n", h->labels, count);
}

static gint by_labels(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

void hist_print(GString *out)
{
	GList *keys;

	pthread_mutex_lock(&hist_lock);
	keys = series ? g_list_sort(g_hash_table_get_keys(series), by_labels) : NULL;
	if (keys)
		g_string_append(out,
				"# HELP " METRIC " time from a caller's request to its answer\n"
				"# TYPE " METRIC " histogram\n");
	for (GList *l = keys; l; l = l->next)
		print_series(out, g_hash_table_lookup(series, l->data));
	pthread_mutex_unlock(&hist_lock);
	g_list_free(keys);
}

void hist_reset(void)
{
	pthread_mutex_lock(&hist_lock);
	g_clear_pointer(&series, g_hash_table_unref);
	pthread_mutex_unlock(&hist_lock);
}
