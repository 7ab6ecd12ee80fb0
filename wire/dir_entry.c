#include "wire/dir_entry.h"

#include "lib/err.h"
#include "lib/set.h"

#include <glib.h>
#include <string.h>

#define DIR_TEXT_MAX_BYTES 128

void dir_entry_put(struct frame_out *f, const struct dir_entry *e)
{
	frame_put_str(f, e->node);
	frame_put_str(f, e->zone);
	frame_put_str(f, e->region);
	frame_put_u64(f, e->incarnation);
	frame_put_u64(f, e->version);
	frame_put_u64(f, e->state);
	frame_put_str(f, e->service);
	frame_put_u64(f, e->slots);
	frame_put_u64(f, e->connections);
}

void dir_entry_get(struct frame_in *in, struct dir_entry *e)
{
	memset(e, 0, sizeof(*e));
	e->node = frame_get_str(in, DIR_TEXT_MAX_BYTES);
	e->zone = frame_get_str(in, DIR_TEXT_MAX_BYTES);
	e->region = frame_get_str(in, DIR_TEXT_MAX_BYTES);
	e->incarnation = frame_get_u64(in);
	e->version = frame_get_u64(in);
	e->state = (enum dir_state)frame_get_u64(in);
	e->service = frame_get_str(in, SET_TEXT_MAX_BYTES);
	e->slots = (u32)frame_get_u64(in);
	e->connections = (u32)frame_get_u64(in);
	if (e->state < DIR_NO_UPSTREAM || e->state > DIR_GONE)
		in->err = ERR_INVAL;
}

void dir_entry_copy(struct dir_entry *to, const struct dir_entry *from)
{
	*to = *from;
	to->node = g_strdup(from->node);
	to->zone = g_strdup(from->zone);
	to->region = g_strdup(from->region);
	to->service = g_strdup(from->service);
}

void dir_entry_clear(struct dir_entry *e)
{
	g_free(e->node);
	g_free(e->zone);
	g_free(e->region);
	g_free(e->service);
	memset(e, 0, sizeof(*e));
}

bool dir_entry_is_newer(const struct dir_entry *a, const struct dir_entry *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->version > b->version;
}

const char *dir_state_name(enum dir_state state)
{
	static const char *const names[] = { "", "no-upstream", "up", "draining", "gone" };

	return state >= DIR_NO_UPSTREAM && state <= DIR_GONE ? names[state] : "";
}
