#include "control/directory.h"

#include "lib/ctr.h"
#include "lib/err.h"

#include <string.h>

/* Changes of a service that are kept: with more, a view is faster anew from all upstreams. */
#define SERVICE_CHANGES_MIN 16
#define SERVICE_CHANGES_DIVISOR 8

static void item_free(gpointer p)
{
	struct directory_item *item = p;

	dir_entry_clear(&item->entry);
	withdrawal_clear(&item->withdrawal);
	g_free(item);
}

static void service_free(gpointer p)
{
	struct directory_service *s = p;

	g_ptr_array_unref(s->up);
	g_queue_clear_full(&s->changed, g_free);
	g_free(s);
}

void directory_init(struct directory *d, u32 self, u64 incarnation)
{
	d->self = self;
	d->incarnation = incarnation;
	d->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	d->owners = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	d->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, service_free);
	d->nodes = 0;
	g_queue_init(&d->order);
	d->seq = 0;
	d->removed_seq = 0;
	d->last_expire_us = 0;
}

void directory_clear(struct directory *d)
{
	g_hash_table_unref(d->services);
	g_hash_table_unref(d->items);
	g_hash_table_unref(d->owners);
}

const struct directory_service *directory_service(const struct directory *d, const char *name)
{
	return g_hash_table_lookup(d->services, name);
}

static struct directory_service *find_or_add_service(struct directory *d, const char *name)
{
	struct directory_service *s = g_hash_table_lookup(d->services, name);

	if (s)
		return s;
	s = g_new0(struct directory_service, 1);
	s->up = g_ptr_array_new();
	g_queue_init(&s->changed);
	g_hash_table_insert(d->services, g_strdup(name), s);
	return s;
}

struct directory_item *directory_find(const struct directory *d, const char *node)
{
	return g_hash_table_lookup(d->items, node);
}

const struct directory_owner *directory_owner(const struct directory *d, u32 owner)
{
	return g_hash_table_lookup(d->owners, GUINT_TO_POINTER(owner));
}

enum dir_state directory_state(const struct directory_item *item)
{
	return item->has_expired || item->is_owner_silent ? DIR_GONE : item->entry.state;
}

bool directory_is_owned_here(const struct directory *d, const struct directory_item *item)
{
	return item->owner == d->self && item->owner_incarnation == d->incarnation;
}

static void record_service_change(struct directory_service *s, const char *node)
{
	guint kept = SERVICE_CHANGES_MIN + s->up->len / SERVICE_CHANGES_DIVISOR;

	s->changes++;
	g_queue_push_tail(&s->changed, g_strdup(node));
	while (s->changed.length > kept)
		g_free(g_queue_pop_head(&s->changed));
}

static void remove_from_service(struct directory_item *item)
{
	if (!item->service)
		return;
	g_ptr_array_remove_fast(item->service->up, item);
	record_service_change(item->service, item->entry.node);
	item->service = NULL;
}

/* Updates the number of nodes and the lists of the services after a change of ITEM. */
static void update_service(struct directory *d, struct directory_item *item)
{
	bool is_present = directory_state(item) != DIR_GONE;
	bool is_up = directory_state(item) == DIR_UP;
	struct directory_service *s = is_up ? find_or_add_service(d, item->entry.service) : NULL;

	d->nodes += is_present;
	d->nodes -= item->is_counted;
	item->is_counted = is_present;
	if (s == item->service)
		return;
	remove_from_service(item);
	if (!s)
		return;
	item->service = s;
	g_ptr_array_add(s->up, item);
	record_service_change(s, item->entry.node);
}

/* Records a change of ITEM and moves it to the end of the order of changes. */
static void record_change(struct directory *d, struct directory_item *item, u32 from, u64 now_us)
{
	item->from = from;
	item->gone_us = directory_state(item) == DIR_GONE ? now_us : 0;
	item->seq = ++d->seq;
	g_queue_unlink(&d->order, &item->link);
	g_queue_push_tail_link(&d->order, &item->link);
	update_service(d, item);
}

static struct directory_item *find_or_add(struct directory *d, const char *node)
{
	struct directory_item *item = directory_find(d, node);

	if (item)
		return item;
	item = g_new0(struct directory_item, 1);
	item->entry.node = g_strdup(node);
	item->link.data = item;
	g_queue_push_tail_link(&d->order, &item->link);
	g_hash_table_insert(d->items, item->entry.node, item);
	return item;
}

/* The hash table uses entry.node as its key, so that string is kept. */
static void set_entry(struct directory_item *item, const struct dir_entry *e)
{
	char *node;

	/* Subsets depend on the zone: an upstream that moves leaves and joins. */
	if (item->service &&
	    (strcmp(item->entry.zone, e->zone) || strcmp(item->entry.region, e->region)))
		remove_from_service(item);
	node = g_steal_pointer(&item->entry.node);
	dir_entry_clear(&item->entry);
	dir_entry_copy(&item->entry, e);
	g_free(item->entry.node);
	item->entry.node = node;
}

/* Returns the liveness of the owner of ITEM, NULL when that incarnation is unknown. */
static const struct directory_owner *find_current_owner(const struct directory *d,
							const struct directory_item *item)
{
	const struct directory_owner *o = directory_owner(d, item->owner);

	return o && o->incarnation == item->owner_incarnation ? o : NULL;
}

static void become_owner(struct directory *d, struct directory_item *item, u64 owner_rev,
			 u64 now_us)
{
	item->owner = d->self;
	item->owner_incarnation = d->incarnation;
	item->owner_rev = owner_rev;
	item->has_expired = false;
	item->is_owner_silent = false;
	item->renewed_us = now_us;
	record_change(d, item, 0, now_us);
}

int directory_register(struct directory *d, const struct dir_entry *e, u64 now_us)
{
	struct directory_item *item = directory_find(d, e->node);

	if (item && dir_entry_is_newer(&item->entry, e)) {
		ctr_inc(CTR_REGISTER_STALE);
		return ERR_CONFLICT;
	}
	if (item && !dir_entry_is_newer(e, &item->entry)) {
		item->renewed_us = now_us;
		if (directory_is_owned_here(d, item) && !item->has_expired)
			return 0;
		become_owner(d, item, item->owner_rev + 1, now_us);
		return 1;
	}
	if (item && item->entry.incarnation != e->incarnation)
		item->applied_revision = 0;
	item = find_or_add(d, e->node);
	set_entry(item, e);
	become_owner(d, item, 0, now_us);
	return 1;
}

void directory_withdraw(struct directory *d, const char *node, const struct withdrawal *w)
{
	struct directory_item *item = directory_find(d, node);

	if (item)
		withdrawal_merge(&item->withdrawal, w);
}

/* Between equal versions the higher owner_rev wins, then the higher owner id (a total order). */
static bool is_copy_newer(const struct directory_item *a, const struct directory_item *b)
{
	if (dir_entry_is_newer(&a->entry, &b->entry))
		return true;
	if (dir_entry_is_newer(&b->entry, &a->entry))
		return false;
	if (a->owner_rev != b->owner_rev)
		return a->owner_rev > b->owner_rev;
	return a->owner > b->owner;
}

int directory_merge(struct directory *d, const struct directory_item *copy, u32 from, u64 now_us)
{
	struct directory_item *item = directory_find(d, copy->entry.node);
	bool is_known = item != NULL;

	if (!item)
		item = find_or_add(d, copy->entry.node);
	withdrawal_merge(&item->withdrawal, &copy->withdrawal);
	if (is_known && !is_copy_newer(copy, item)) {
		if (!is_copy_newer(item, copy))
			return 0;
		ctr_inc(CTR_REGISTER_STALE);
		return ERR_CONFLICT;
	}
	set_entry(item, &copy->entry);
	item->owner = copy->owner;
	item->owner_incarnation = copy->owner_incarnation;
	item->owner_rev = copy->owner_rev;
	item->has_expired = copy->has_expired;
	item->is_owner_silent = false;
	item->renewed_us = now_us;
	/* A stale copy of an own entry whose tombstone was removed: no node renews it. */
	if (directory_is_owned_here(d, item) && !item->has_expired) {
		item->has_expired = true;
		item->owner_rev++;
		from = 0;
	}
	record_change(d, item, from, now_us);
	return 1;
}

int directory_renew(struct directory *d, const char *node, u64 incarnation, u64 now_us)
{
	struct directory_item *item = directory_find(d, node);

	if (!item || item->entry.incarnation != incarnation || !directory_is_owned_here(d, item) ||
	    item->has_expired)
		return ERR_NOTFOUND;
	item->renewed_us = now_us;
	return 0;
}

static bool is_expired(u64 since_us, u64 now_us)
{
	return since_us < now_us && now_us - since_us >= DIRECTORY_TTL_US;
}

/*
 * A process that restarts while its clock is behind has a lower incarnation than the run before.
 * Only one run of a process exists at a time, so the other has ended when it is silent for long.
 */
static bool is_heartbeat_newer(const struct directory_owner *o, u64 incarnation, u64 heartbeat_seq,
			       u64 heard_us)
{
	if (incarnation < o->incarnation)
		return is_expired(o->heard_us, heard_us);
	return incarnation > o->incarnation || heartbeat_seq > o->heartbeat_seq;
}

bool directory_record_heartbeat(struct directory *d, u32 owner, u64 incarnation, u64 heartbeat_seq,
				u64 now_us)
{
	struct directory_owner *o = g_hash_table_lookup(d->owners, GUINT_TO_POINTER(owner));

	if (!o) {
		o = g_new0(struct directory_owner, 1);
		g_hash_table_insert(d->owners, GUINT_TO_POINTER(owner), o);
	}
	if (!is_heartbeat_newer(o, incarnation, heartbeat_seq, now_us))
		return false;
	o->incarnation = incarnation;
	o->heartbeat_seq = heartbeat_seq;
	o->heard_us = now_us;
	o->alive_us = now_us;
	return true;
}

/*
 * Shifts all timestamps by the time that this process was suspended. Those that were set since it
 * continued, by what waited to be read, stay at the present time.
 */
static void shift_timestamps(struct directory *d, u64 suspended_us, u64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct directory_owner *o = value;

		o->heard_us = MIN(o->heard_us + suspended_us, now_us);
	}
	for (GList *l = d->order.head; l; l = l->next) {
		struct directory_item *item = l->data;

		item->renewed_us = MIN(item->renewed_us + suspended_us, now_us);
	}
}

static bool expire_if_silent(struct directory *d, struct directory_item *item, u64 now_us)
{
	if (item->has_expired || item->entry.state == DIR_GONE ||
	    !is_expired(item->renewed_us, now_us))
		return false;
	ctr_inc(CTR_REGISTER_EXPIRED);
	item->has_expired = true;
	item->owner_rev++;
	record_change(d, item, 0, now_us);
	return true;
}

static bool update_owner_silence(struct directory *d, struct directory_item *item, u64 now_us)
{
	const struct directory_owner *o = find_current_owner(d, item);
	u64 since = o ? MAX(o->heard_us, item->renewed_us) : item->renewed_us;
	bool is_owner_silent = is_expired(since, now_us);

	if (item->is_owner_silent == is_owner_silent)
		return false;
	item->is_owner_silent = is_owner_silent;
	if (item->has_expired || item->entry.state == DIR_GONE)
		return false;
	if (is_owner_silent)
		ctr_inc(CTR_REGISTER_EXPIRED);
	record_change(d, item, 0, now_us);
	return true;
}

static bool expire_one(struct directory *d, struct directory_item *item, u64 now_us)
{
	if (directory_is_owned_here(d, item))
		return expire_if_silent(d, item, now_us);
	return update_owner_silence(d, item, now_us);
}

static void remove_item(struct directory *d, struct directory_item *item)
{
	d->removed_seq = d->seq;
	g_queue_unlink(&d->order, &item->link);
	g_hash_table_remove(d->items, item->entry.node);
}

u32 directory_expire(struct directory *d, u64 now_us)
{
	u64 start_seq = d->seq;
	GList *next;
	u32 n = 0;

	if (d->last_expire_us && now_us > d->last_expire_us + DIRECTORY_SUSPENDED_MIN_US)
		shift_timestamps(d, now_us - d->last_expire_us, now_us);
	d->last_expire_us = now_us;
	for (GList *l = d->order.head; l; l = next) {
		struct directory_item *item = l->data;

		next = l->next;
		/* Items changed in this pass are at the end of the list. */
		if (item->seq > start_seq)
			break;
		if (expire_one(d, item, now_us))
			n++;
		else if (item->gone_us && now_us - item->gone_us > DIRECTORY_TOMBSTONE_TTL_US)
			remove_item(d, item);
	}
	return n;
}

GPtrArray *directory_changes_since(const struct directory *d, u64 seq)
{
	GPtrArray *out = g_ptr_array_new();
	GList *l = d->order.tail;

	while (l && ((struct directory_item *)l->data)->seq > seq)
		l = l->prev;
	for (l = l ? l->next : d->order.head; l; l = l->next)
		g_ptr_array_add(out, l->data);
	return out;
}
