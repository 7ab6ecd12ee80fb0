#include "lib/delta.h"

#include <string.h>
#include <xxhash.h>

/* Approximate size of an operation in a frame, without its text. */
#define OP_BYTES 16
#define CHUNK_END '}'

struct chunk {
	const char *at;
	size_t len;
};

/* Returns the chunk that begins at AT. */
static struct chunk chunk_at(const char *at)
{
	const char *end = strchr(at, CHUNK_END);

	return (struct chunk){ at, end ? (size_t)(end + 1 - at) : strlen(at) };
}

static guint chunk_hash(gconstpointer p)
{
	const struct chunk *chunk = p;

	return (guint)XXH64(chunk->at, chunk->len, 0);
}

static gboolean chunk_equal(gconstpointer a, gconstpointer b)
{
	const struct chunk *x = a;
	const struct chunk *y = b;

	return x->len == y->len && !memcmp(x->at, y->at, x->len);
}

/* Returns the set of chunks of TEXT; of equal chunks, the last one. */
static GHashTable *index_chunks(const char *text)
{
	GHashTable *chunks = g_hash_table_new_full(chunk_hash, chunk_equal, g_free, NULL);

	while (*text) {
		struct chunk *chunk = g_new(struct chunk, 1);

		*chunk = chunk_at(text);
		g_hash_table_add(chunks, chunk);
		text += chunk->len;
	}
	return chunks;
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

static void add_text(GArray *ops, const struct chunk *chunk)
{
	struct delta_op *last =
		ops->len ? &g_array_index(ops, struct delta_op, ops->len - 1) : NULL;
	struct delta_op op = { .text = chunk->at, .text_len = chunk->len };

	if (last && !last->len)
		last->text_len += chunk->len;
	else
		g_array_append_val(ops, op);
}

GArray *delta_make(const char *old_text, const char *new_text)
{
	GArray *ops = g_array_new(FALSE, FALSE, sizeof(struct delta_op));
	g_autoptr(GHashTable) chunks = index_chunks(old_text);

	while (*new_text) {
		struct chunk chunk = chunk_at(new_text);
		const struct chunk *match = g_hash_table_lookup(chunks, &chunk);

		if (match)
			add_copy(ops, (u64)(match->at - old_text), chunk.len);
		else
			add_text(ops, &chunk);
		new_text += chunk.len;
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
