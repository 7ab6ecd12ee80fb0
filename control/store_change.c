/* Changes as commands of the log. */
#include "control/store_impl.h"

#include "lib/delta.h"
#include "lib/err.h"

#include <string.h>
#include <xxhash.h>

bool store_is_set_change(const struct store_change *c)
{
	return c->op == STORE_SET || c->op == STORE_SET_DELTA;
}

GBytes *store_change_pack(const struct store_change *c)
{
	FRAME_AUTO(f, c->op);

	frame_put_str(&f, c->name);
	frame_put_bool(&f, c->has_if_match);
	frame_put_u64(&f, c->if_match);
	frame_put_str(&f, c->change_id);
	frame_put_str(&f, c->json);
	frame_put_u64(&f, c->version);
	if (c->op == STORE_SET_DELTA) {
		frame_put_u64(&f, c->checksum);
		delta_put(&f, c->ops);
	}
	if (c->has_seen)
		frame_put_u64(&f, c->seen);
	frame_end(&f);
	return g_bytes_new(f.buf.data + FRAME_HEADER_BYTES, f.buf.size - FRAME_HEADER_BYTES);
}

int store_change_unpack(struct store_change *c, GBytes *data)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(data, &len);

	frame_in_init(&in, p, len);
	c->op = (enum store_op)frame_get_u64(&in);
	c->name = frame_get_str(&in, STORE_TEXT_MAX_BYTES);
	c->has_if_match = frame_get_bool(&in);
	c->if_match = frame_get_u64(&in);
	c->change_id = frame_get_str(&in, STORE_CHANGE_ID_MAX_BYTES);
	c->json = frame_get_str(&in, STORE_TEXT_MAX_BYTES);
	c->version = frame_get_u64(&in);
	if (c->op < STORE_PUT || c->op > STORE_SET_DELTA)
		return ERR_INVAL;
	if (c->op == STORE_SET_DELTA) {
		c->checksum = frame_get_u64(&in);
		c->ops = delta_get(&in);
	}
	c->has_seen = frame_has_more(&in);
	if (c->has_seen)
		c->seen = frame_get_u64(&in);
	return frame_done(&in);
}

void store_change_clear(struct store_change *c)
{
	g_free(c->name);
	g_free(c->change_id);
	g_free(c->json);
	g_clear_pointer(&c->ops, g_array_unref);
}

GBytes *store_command_seen(GBytes *command, u64 seen)
{
	__attribute__((cleanup(store_change_clear))) struct store_change c = { 0 };

	if (store_change_unpack(&c, command))
		return g_bytes_ref(command);
	c.has_seen = true;
	c.seen = seen;
	return store_change_pack(&c);
}

/* Returns whether the change, with the current text and the ops of a delta, is worth a delta. */
static bool is_delta_shorter(const struct store_change *c, const GArray *ops)
{
	return ops->len <= DELTA_OPS_MAX && delta_bytes(ops) < strlen(c->json) / 2;
}

GBytes *store_command_shrink(const struct store *s, GBytes *command)
{
	__attribute__((cleanup(store_change_clear))) struct store_change c = { 0 };
	g_autofree char *text = NULL;
	const struct store_item *item;
	GBytes *shorter;

	if (store_change_unpack(&c, command) || c.op != STORE_SET)
		return command;
	item = store_find(s, c.name);
	if (!item || !c.has_if_match || c.if_match != item->version)
		return command;
	c.ops = delta_make(item->json, c.json);
	if (!is_delta_shorter(&c, c.ops))
		return command;
	c.op = STORE_SET_DELTA;
	c.checksum = XXH64(c.json, strlen(c.json), 0);
	text = g_steal_pointer(&c.json); /* the ops point into it */
	shorter = store_change_pack(&c);
	g_bytes_unref(command);
	return shorter;
}

static u64 hash_bytes(GBytes *bytes)
{
	gsize len;
	const void *p = g_bytes_get_data(bytes, &len);

	return XXH64(p, len, 0);
}

u64 store_change_hash(const struct store_change *c, GBytes *command)
{
	struct store_change bare = *c;
	g_autoptr(GBytes) bare_command = NULL;

	if (store_is_set_change(c))
		return XXH64(c->change_id, strlen(c->change_id), STORE_SET);
	if (!c->has_seen)
		return hash_bytes(command);
	bare.has_seen = false;
	bare_command = store_change_pack(&bare);
	return hash_bytes(bare_command);
}
