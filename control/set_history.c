#include "control/set_history.h"

#include "lib/log.h"
#include "lib/pmap.h"
#include "lib/set_frame.h"

#include <string.h>

static void entry_free(gpointer p)
{
	struct set_history_entry *e = p;

	for (u32 i = 0; i < SET_PARTS; i++)
		g_array_unref(e->parts[i]);
	g_free(e);
}

static size_t entry_bytes(const struct set_history_entry *e)
{
	size_t items = 0;

	for (u32 i = 0; i < SET_PARTS; i++)
		items += e->parts[i]->len;
	return items * sizeof(struct set_item);
}

void set_history_clear(struct set_history *h)
{
	g_queue_clear_full(&h->entries, entry_free);
	set_free(h->newest);
	memset(h, 0, sizeof(*h));
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct set_item *x = a;
	const struct set_item *y = b;

	if (x->key == y->key)
		return 0;
	return x->key < y->key ? -1 : 1;
}

static GArray *index_routes(const struct set *s)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct set_item));

	for (guint i = 0; i < s->routes->len; i++) {
		struct set_route *r = g_ptr_array_index(s->routes, i);
		struct set_item item = { .at = i };

		if (!r->hash) {
			r->key_hash = set_route_key_hash(r);
			r->hash = set_route_hash(r);
		}
		item.key = r->key_hash;
		item.hash = r->hash;
		g_array_append_val(items, item);
	}
	g_array_sort(items, compare_keys);
	return items;
}

static GArray *index_services(const struct set *s)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct set_item));

	for (guint i = 0; i < s->services->len; i++) {
		const struct set_service *service = g_ptr_array_index(s->services, i);
		struct set_item item = { pmap_hash(service->name), i, set_service_hash(service) };

		g_array_append_val(items, item);
	}
	g_array_sort(items, compare_keys);
	return items;
}

static GArray *index_organisations(const struct set *s)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct set_item));

	for (guint i = 0; s->organisations && i < s->organisations->len; i++) {
		const struct set_organisation *o = g_ptr_array_index(s->organisations, i);
		struct set_item item = { pmap_hash(o->name), i, set_organisation_hash(o) };

		g_array_append_val(items, item);
	}
	g_array_sort(items, compare_keys);
	return items;
}

static u64 sum_hashes(const struct set_history_entry *e)
{
	u64 sum = 0;

	for (u32 part = 0; part < SET_PARTS; part++)
		for (guint i = 0; i < e->parts[part]->len; i++)
			sum += g_array_index(e->parts[part], struct set_item, i).hash;
	return sum;
}

static void drop_oldest(struct set_history *h)
{
	while (h->bytes > SET_HISTORY_MAX_BYTES && h->entries.length > 1) {
		struct set_history_entry *oldest = g_queue_pop_head(&h->entries);

		h->bytes -= entry_bytes(oldest);
		entry_free(oldest);
	}
}

/* Takes ownership of SET. */
static void add_entry(struct set_history *h, struct set *set, u64 from, u64 to)
{
	struct set_history_entry *e = g_new0(struct set_history_entry, 1);

	e->from = from;
	e->to = to;
	e->parts[SET_ROUTES] = index_routes(set);
	e->parts[SET_SERVICES] = index_services(set);
	e->parts[SET_ORGANISATIONS] = index_organisations(set);
	g_queue_push_tail(&h->entries, e);
	h->bytes += entry_bytes(e);
	drop_oldest(h);
	set_free(h->newest);
	h->newest = set;
	h->checksum = sum_hashes(e);
}

static void parse_newest(struct set_history *h, const struct store_item *set, u64 revision)
{
	FINDINGS_AUTO(found);
	struct set *parsed = set_parse_after(h->newest, set->json, strlen(set->json), &found);

	if (parsed) {
		add_entry(h, parsed, set->revision, revision);
		return;
	}
	h->invalid_revision = set->revision;
	log_event(LOG_ERROR, "the declared set is invalid; nodes keep the previous one", "revision",
		  log_u64(set->revision), "place", findings_at(&found, 0)->place, "text",
		  findings_at(&found, 0)->text, NULL);
}

void set_history_update(struct set_history *h, const struct store_item *set, u64 revision)
{
	struct set_history_entry *last = g_queue_peek_tail(&h->entries);

	if (!set || set->revision == h->invalid_revision)
		return;
	if (last && last->from == set->revision)
		last->to = revision;
	else
		parse_newest(h, set, revision);
}

bool set_history_has_changed(const struct set_history *h, u64 revision)
{
	const struct set_history_entry *last = h->entries.tail ? h->entries.tail->data : NULL;

	return last && last->from > revision;
}

/* Returns the set that was in force at REVISION, or NULL if it is not known. */
static const struct set_history_entry *find(const struct set_history *h, u64 revision)
{
	for (const GList *l = h->entries.tail; l; l = l->prev) {
		const struct set_history_entry *e = l->data;

		if (e->from <= revision && revision <= e->to)
			return e;
	}
	return NULL;
}

bool set_history_knows(const struct set_history *h, u64 revision)
{
	return !revision || find(h, revision);
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	u32 x = *(const u32 *)a;
	u32 y = *(const u32 *)b;

	if (x == y)
		return 0;
	return x < y ? -1 : 1;
}

/* Adds the indexes of items of TO that FROM lacks or has with another hash, and dropped keys. */
static void compare_items(const GArray *from, const GArray *to, GArray *changed, GArray *dropped)
{
	guint i = 0;

	for (guint k = 0; k < to->len; k++) {
		const struct set_item *now = &g_array_index(to, struct set_item, k);

		while (i < from->len && g_array_index(from, struct set_item, i).key < now->key)
			g_array_append_val(dropped, g_array_index(from, struct set_item, i++).key);
		if (i < from->len && g_array_index(from, struct set_item, i).key == now->key &&
		    g_array_index(from, struct set_item, i++).hash == now->hash)
			continue;
		g_array_append_val(changed, now->at);
	}
	for (; i < from->len; i++)
		g_array_append_val(dropped, g_array_index(from, struct set_item, i).key);
	g_array_sort(changed, compare_u32);
}

bool set_history_compare(const struct set_history *h, u64 revision, struct set_difference *out)
{
	static const struct set_history_entry none;
	const struct set_history_entry *now = h->entries.tail ? h->entries.tail->data : NULL;
	const struct set_history_entry *old = revision ? find(h, revision) : &none;
	g_autoptr(GArray) empty = g_array_new(FALSE, FALSE, sizeof(struct set_item));

	for (u32 i = 0; i < SET_PARTS; i++) {
		out->changed[i] = g_array_new(FALSE, FALSE, sizeof(u32));
		out->dropped[i] = g_array_new(FALSE, FALSE, sizeof(u64));
	}
	if (!old)
		return false;
	for (u32 i = 0; now && i < SET_PARTS; i++)
		compare_items(old->parts[i] ? old->parts[i] : empty, now->parts[i], out->changed[i],
			      out->dropped[i]);
	return true;
}

void set_difference_clear(struct set_difference *d)
{
	for (u32 i = 0; i < SET_PARTS; i++) {
		g_clear_pointer(&d->changed[i], g_array_unref);
		g_clear_pointer(&d->dropped[i], g_array_unref);
	}
}
