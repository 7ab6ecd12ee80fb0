#include "wire/withdrawal.h"

#include "lib/set.h"

#include <glib.h>
#include <string.h>

void withdrawal_set(struct withdrawal *w, const char *instance, u64 start_ms, u64 sequence)
{
	withdrawal_clear(w);
	w->instance = g_strdup(instance);
	w->start_ms = start_ms;
	w->sequence = sequence;
}

void withdrawal_clear(struct withdrawal *w)
{
	g_free(w->instance);
	memset(w, 0, sizeof(*w));
}

bool withdrawal_covers(const struct withdrawal *w, const char *instance, u64 start_ms, u64 sequence)
{
	if (!w->instance || strcmp(w->instance, instance))
		return false;
	return start_ms < w->start_ms || (start_ms == w->start_ms && sequence <= w->sequence);
}

static bool is_newer(const struct withdrawal *a, const struct withdrawal *b)
{
	if (!a->instance || !b->instance)
		return a->instance != NULL;
	if (a->start_ms != b->start_ms)
		return a->start_ms > b->start_ms;
	return a->sequence > b->sequence;
}

bool withdrawal_merge(struct withdrawal *w, const struct withdrawal *other)
{
	if (!is_newer(other, w))
		return false;
	withdrawal_set(w, other->instance, other->start_ms, other->sequence);
	return true;
}

void withdrawal_put(struct frame_out *f, const struct withdrawal *w)
{
	frame_put_str(f, w->instance ? w->instance : "");
	frame_put_u64(f, w->start_ms);
	frame_put_u64(f, w->sequence);
}

void withdrawal_get(struct frame_in *in, struct withdrawal *w)
{
	g_autofree char *instance = frame_get_str(in, SET_TEXT_MAX_BYTES);
	u64 start_ms = frame_get_u64(in);
	u64 sequence = frame_get_u64(in);

	withdrawal_clear(w);
	if (!in->err && *instance)
		withdrawal_set(w, instance, start_ms, sequence);
}
