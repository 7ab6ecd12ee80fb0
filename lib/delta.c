#include "lib/delta.h"

#include <string.h>
#include <xxhash.h>

/* Numbers and heads of one run in a frame, about. */
#define OP_BYTES 16
#define PART_END '}'

struct part {
	const char *at;
	size_t len;
};

/* The part that begins at AT. */
static struct part part_at(const char *at)
{
	const char *end = strchr(at, PART_END);

	return (struct part){ at, end ? (size_t)(end + 1 - at) : strlen(at) };
}

static guint part_hash(gconstpointer p)
{
	const struct part *part = p;

	return (guint)XXH64(part->at, part->len, 0);
}

static gboolean part_equal(gconstpointer a, gconstpointer b)
{
	const struct part *x = a;
	const struct part *y = b;

	return x->len == y->len && !memcmp(x->at, y->at, x->len);
}

/* All parts of TEXT; of equal ones the last. */
static GHashTable *index_parts(const char *text)
{
	GHashTable *parts = g_hash_table_new_full(part_hash, part_equal, g_free, NULL);

	while (*text) {
		struct part *part = g_new(struct part, 1);

		*part = part_at(text);
		g_hash_table_add(parts, part);
		text += part->len;
	}
	return parts;
}

static void add_copy(GArray *ops, u64 from, size_t len)
{
	struct delta_op *last =
		ops->len ? &g_array_index(ops, struct delta_op, ops->len - 1) : NULL;
	struct delta_op op = { .from = from, .len = len };

	if (last && last->len && last->from + last->len == from)
		last->len += len;
	else
		g_array_append_val(ops, op);
}

static void add_text(GArray *ops, const struct part *part)
{
	struct delta_op *last =
		ops->len ? &g_array_index(ops, struct delta_op, ops->len - 1) : NULL;
	struct delta_op op = { .text = part->at, .text_len = part->len };

	if (last && !last->len)
		last->text_len += part->len;
	else
		g_array_append_val(ops, op);
}

GArray *delta_make(const char *old_text, const char *new_text)
{
	GArray *ops = g_array_new(FALSE, FALSE, sizeof(struct delta_op));
	g_autoptr(GHashTable) parts = index_parts(old_text);

	while (*new_text) {
		struct part part = part_at(new_text);
		const struct part *same = g_hash_table_lookup(parts, &part);

		if (same)
			add_copy(ops, (u64)(same->at - old_text), part.len);
		else
			add_text(ops, &part);
		new_text += part.len;
	}
	return ops;
}

size_t delta_bytes(const GArray *ops)
{
	size_t bytes = 0;

	for (guint i = 0; i < ops->len; i++)
		bytes += OP_BYTES + g_array_index(ops, struct delta_op, i).text_len;
	return bytes;
}

char *delta_apply(const char *old_text, const GArray *ops)
{
	g_autoptr(GString) out = g_string_new(NULL);
	u64 old_len = strlen(old_text);

	for (guint i = 0; i < ops->len; i++) {
		const struct delta_op *op = &g_array_index(ops, struct delta_op, i);

		if (op->len && (op->from > old_len || op->len > old_len - op->from))
			return NULL;
		if (out->len + op->len + op->text_len > DELTA_TEXT_MAX_BYTES)
			return NULL;
		if (op->len)
			g_string_append_len(out, old_text + op->from, (gssize)op->len);
		else
			g_string_append_len(out, op->text, (gssize)op->text_len);
	}
	return g_strdup(out->str);
}

void delta_put(struct frame_out *f, const GArray *ops)
{
	frame_put_u64(f, ops->len);
	for (guint i = 0; i < ops->len; i++) {
		const struct delta_op *op = &g_array_index(ops, struct delta_op, i);

		frame_put_u64(f, op->from);
		frame_put_u64(f, op->len);
		frame_put_bin(f, op->text, op->text_len);
	}
}

GArray *delta_get(struct frame_in *in)
{
	GArray *ops = g_array_new(FALSE, FALSE, sizeof(struct delta_op));
	u32 n = frame_get_count(in, DELTA_OPS_MAX);

	for (u32 i = 0; i < n && !in->err; i++) {
		struct delta_op op = { .from = frame_get_u64(in), .len = frame_get_u64(in) };

		op.text = frame_get_bin(in, &op.text_len);
		g_array_append_val(ops, op);
	}
	return ops;
}
