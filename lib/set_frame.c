#include "lib/set_frame.h"

#include "lib/err.h"
#include "lib/pmap.h"

#include <endian.h>
#include <string.h>
#include <xxhash.h>

/* What a route shares with the one before it, and its fields of one bit. */
#define SAME_HOST (1 << 0)
#define SAME_NUMBERS (1 << 1)
#define SAME_PARTS (1 << 2)
#define IS_IDEMPOTENT (1 << 3)
#define IS_ANONYMOUS (1 << 4)
#define FLAGS_MAX 31

/* What a service has besides its name. */
#define HAS_HEALTH_PATH (1 << 0)
#define HAS_COLD_RATE (1 << 1)
#define SERVICE_FLAGS_MAX 3

#define TEXT_MAX_BYTES SET_JSON_MAX_BYTES
#define PARTS_MAX 64
#define WEIGHT_MAX (1ULL << 50)

/* The seed makes the hash of a service differ from that of any route. */
#define SERVICE_SEED 1

u64 set_route_key_hash(const struct set_route *r)
{
	g_autofree char *key = set_route_key(r->host, r->prefix);

	return pmap_hash(key);
}

static u64 hash_u64(u64 value, u64 seed)
{
	u64 bytes = htole64(value);

	return XXH64(&bytes, sizeof(bytes), seed);
}

static u64 hash_text(const char *text, u64 seed)
{
	return XXH64(text, strlen(text), seed);
}

u64 set_route_hash(const struct set_route *r)
{
	u64 hash = set_route_key_hash(r);

	hash = hash_u64(r->is_idempotent, hash);
	hash = hash_u64(r->attempts, hash);
	hash = hash_u64(r->timeout_ms, hash);
	hash = hash_u64(r->target_ms, hash);
	hash = hash_u64(r->priority, hash);
	if (r->is_anonymous)
		hash = hash_u64(IS_ANONYMOUS, hash);
	for (guint i = 0; i < r->parts->len; i++) {
		const struct set_split_part *part =
			&g_array_index(r->parts, struct set_split_part, i);

		hash = hash_text(part->service, hash);
		hash = hash_u64(part->weight, hash);
	}
	return hash;
}

u64 set_service_hash(const struct set_service *s)
{
	u64 hash = hash_text(s->name, SERVICE_SEED);

	if (s->health_path)
		hash = hash_text(s->health_path, hash);
	return s->cold_milli_per_s ?
		       hash_u64(s->cold_period_ms, hash_u64(s->cold_milli_per_s, hash)) :
		       hash;
}

static bool has_same_numbers(const struct set_route *a, const struct set_route *b)
{
	return a->attempts == b->attempts && a->timeout_ms == b->timeout_ms &&
	       a->target_ms == b->target_ms && a->priority == b->priority;
}

static bool has_same_parts(const struct set_route *a, const struct set_route *b)
{
	if (a->parts->len != b->parts->len)
		return false;
	for (guint i = 0; i < a->parts->len; i++) {
		const struct set_split_part *x = &g_array_index(a->parts, struct set_split_part, i);
		const struct set_split_part *y = &g_array_index(b->parts, struct set_split_part, i);

		if (x->weight != y->weight || strcmp(x->service, y->service))
			return false;
	}
	return true;
}

static int compare_u64(u64 a, u64 b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

static int compare_numbers(const struct set_route *a, const struct set_route *b)
{
	int order = compare_u64(a->timeout_ms, b->timeout_ms);

	if (!order)
		order = compare_u64(a->target_ms, b->target_ms);
	if (!order)
		order = compare_u64(a->priority, b->priority);
	return order ? order : compare_u64(a->attempts, b->attempts);
}

int set_route_compare(const void *a, const void *b)
{
	const struct set_route *x = *(const struct set_route *const *)a;
	const struct set_route *y = *(const struct set_route *const *)b;
	const struct set_split_part *part_x = &g_array_index(x->parts, struct set_split_part, 0);
	const struct set_split_part *part_y = &g_array_index(y->parts, struct set_split_part, 0);
	int order = g_ascii_strcasecmp(x->host, y->host);

	if (!order)
		order = compare_numbers(x, y);
	if (!order)
		order = strcmp(part_x->service, part_y->service);
	return order ? order : strcmp(x->prefix, y->prefix);
}

static u64 flags_of(const struct set_route *r, const struct set_route *previous)
{
	u64 flags = r->is_idempotent ? IS_IDEMPOTENT : 0;

	if (r->is_anonymous)
		flags |= IS_ANONYMOUS;
	if (!previous)
		return flags;
	if (!g_ascii_strcasecmp(r->host, previous->host))
		flags |= SAME_HOST;
	if (has_same_numbers(r, previous))
		flags |= SAME_NUMBERS;
	if (has_same_parts(r, previous))
		flags |= SAME_PARTS;
	return flags;
}

static size_t common_length(const char *a, const char *b)
{
	size_t n = 0;

	while (a[n] && a[n] == b[n])
		n++;
	return n;
}

static void put_parts(struct frame_out *f, const GArray *parts)
{
	frame_put_u64(f, parts->len);
	for (guint i = 0; i < parts->len; i++) {
		const struct set_split_part *part = &g_array_index(parts, struct set_split_part, i);

		frame_put_str(f, part->service);
		frame_put_u64(f, part->weight);
	}
}

void set_route_put(struct frame_out *f, const struct set_route *r, const struct set_route *previous)
{
	u64 flags = flags_of(r, previous);
	size_t common = previous ? common_length(r->prefix, previous->prefix) : 0;
	g_autofree char *host = g_ascii_strdown(r->host, -1);

	frame_put_u64(f, flags);
	if (!(flags & SAME_HOST))
		frame_put_str(f, host);
	frame_put_u64(f, common);
	frame_put_str(f, r->prefix + common);
	if (!(flags & SAME_NUMBERS)) {
		frame_put_u64(f, r->attempts);
		frame_put_u64(f, r->timeout_ms);
		frame_put_u64(f, r->target_ms);
		frame_put_u64(f, r->priority);
	}
	if (!(flags & SAME_PARTS))
		put_parts(f, r->parts);
}

static u64 get_below(struct frame_in *in, u64 limit)
{
	u64 value = frame_get_u64(in);

	if (value < limit)
		return value;
	in->err = ERR_INVAL;
	return 0;
}

static void get_numbers(struct set_route *r, struct frame_in *in)
{
	r->attempts = (u32)get_below(in, UINT32_MAX);
	r->timeout_ms = get_below(in, UINT32_MAX);
	r->target_ms = get_below(in, UINT32_MAX);
	r->priority = (u32)get_below(in, UINT32_MAX);
}

static void copy_numbers(struct set_route *r, const struct set_route *from)
{
	r->attempts = from->attempts;
	r->timeout_ms = from->timeout_ms;
	r->target_ms = from->target_ms;
	r->priority = from->priority;
}

static void get_parts(struct set_route *r, struct frame_in *in)
{
	u32 n = frame_get_count(in, PARTS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		char *service = frame_get_str(in, TEXT_MAX_BYTES);

		set_route_add_part(r, service, get_below(in, WEIGHT_MAX));
	}
	if (!r->parts->len)
		in->err = ERR_INVAL;
}

static void copy_parts(struct set_route *r, const struct set_route *from)
{
	for (guint i = 0; i < from->parts->len; i++) {
		const struct set_split_part *part =
			&g_array_index(from->parts, struct set_split_part, i);

		set_route_add_part(r, g_strdup(part->service), part->weight);
	}
}

static char *get_prefix(struct frame_in *in, const struct set_route *previous)
{
	u64 common = get_below(in, previous ? strlen(previous->prefix) + 1 : 1);
	g_autofree char *rest = frame_get_str(in, TEXT_MAX_BYTES);
	GString *prefix = g_string_new(NULL);

	if (previous)
		g_string_append_len(prefix, previous->prefix, (gssize)common);
	g_string_append(prefix, rest);
	return g_string_free(prefix, FALSE);
}

static char *get_host(struct frame_in *in)
{
	g_autofree char *host = frame_get_str(in, TEXT_MAX_BYTES);

	return g_ascii_strdown(host, -1);
}

struct set_route *set_route_get(struct frame_in *in, const struct set_route *previous)
{
	u64 flags = get_below(in, FLAGS_MAX + 1);
	struct set_route *r;

	if (!previous && flags & (SAME_HOST | SAME_NUMBERS | SAME_PARTS))
		in->err = ERR_INVAL;
	if (in->err)
		return NULL;
	r = set_route_new();
	r->name = g_strdup("");
	r->is_idempotent = flags & IS_IDEMPOTENT;
	r->is_anonymous = flags & IS_ANONYMOUS;
	r->host = flags & SAME_HOST ? g_strdup(previous->host) : get_host(in);
	r->prefix = get_prefix(in, previous);
	if (flags & SAME_NUMBERS)
		copy_numbers(r, previous);
	else
		get_numbers(r, in);
	if (flags & SAME_PARTS)
		copy_parts(r, previous);
	else
		get_parts(r, in);
	if (in->err)
		g_clear_pointer(&r, set_route_free);
	return r;
}

void set_service_put(struct frame_out *f, const struct set_service *s)
{
	u64 flags = s->health_path ? HAS_HEALTH_PATH : 0;

	if (s->cold_milli_per_s)
		flags |= HAS_COLD_RATE;
	frame_put_str(f, s->name);
	frame_put_u64(f, flags);
	if (s->health_path)
		frame_put_str(f, s->health_path);
	if (flags & HAS_COLD_RATE) {
		frame_put_u64(f, s->cold_milli_per_s);
		frame_put_u64(f, s->cold_period_ms);
	}
}

struct set_service *set_service_get(struct frame_in *in)
{
	struct set_service *s = g_new0(struct set_service, 1);
	u64 flags;

	s->name = frame_get_str(in, TEXT_MAX_BYTES);
	flags = get_below(in, SERVICE_FLAGS_MAX + 1);
	if (flags & HAS_HEALTH_PATH)
		s->health_path = frame_get_str(in, TEXT_MAX_BYTES);
	if (flags & HAS_COLD_RATE) {
		s->cold_milli_per_s = frame_get_u64(in);
		s->cold_period_ms = frame_get_u64(in);
	}
	if (in->err)
		g_clear_pointer(&s, set_service_free);
	return s;
}
