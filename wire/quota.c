#include "wire/quota.h"

#include "lib/err.h"

static u32 get_u32(struct frame_in *in)
{
	u64 value = frame_get_u64(in);

	if (value <= UINT32_MAX)
		return (u32)value;
	in->err = ERR_INVAL;
	return 0;
}

void quota_request_init(struct quota_request *r)
{
	r->number = 0;
	r->is_repeat = false;
	r->wants = g_array_new(FALSE, TRUE, sizeof(struct quota_want));
}

void quota_request_clear(struct quota_request *r)
{
	g_clear_pointer(&r->wants, g_array_unref);
}

void quota_request_put(struct frame_out *f, const struct quota_request *r)
{
	frame_put_u64(f, r->number);
	frame_put_bool(f, r->is_repeat);
	frame_put_u64(f, r->wants->len);
	for (guint i = 0; i < r->wants->len; i++) {
		const struct quota_want *w = &g_array_index(r->wants, struct quota_want, i);

		frame_put_u64(f, w->organisation);
		frame_put_u64(f, w->wanted);
		frame_put_u64(f, w->wanted_again);
		frame_put_u64(f, w->returned);
	}
}

void quota_request_get(struct frame_in *in, struct quota_request *r)
{
	u32 count;

	r->number = frame_get_u64(in);
	r->is_repeat = frame_get_bool(in);
	count = frame_get_count(in, QUOTA_ITEMS_MAX);
	for (u32 i = 0; i < count && !in->err; i++) {
		struct quota_want w = { .organisation = frame_get_u64(in) };

		w.wanted = get_u32(in);
		w.wanted_again = get_u32(in);
		w.returned = get_u32(in);
		g_array_append_val(r->wants, w);
	}
}

void quota_grant_init(struct quota_grant *g)
{
	g->number = 0;
	g->is_known = false;
	g->shares = g_array_new(FALSE, TRUE, sizeof(struct quota_share));
}

void quota_grant_clear(struct quota_grant *g)
{
	g_clear_pointer(&g->shares, g_array_unref);
}

void quota_grant_put(struct frame_out *f, const struct quota_grant *g)
{
	frame_put_u64(f, g->number);
	frame_put_bool(f, g->is_known);
	frame_put_u64(f, g->shares->len);
	for (guint i = 0; i < g->shares->len; i++) {
		const struct quota_share *s = &g_array_index(g->shares, struct quota_share, i);

		frame_put_u64(f, s->organisation);
		frame_put_u64(f, s->granted);
		frame_put_u64(f, s->granted_again);
		frame_put_u64(f, s->wait_ms);
		frame_put_u64(f, s->spacing_ms);
	}
}

void quota_grant_get(struct frame_in *in, struct quota_grant *g)
{
	u32 count;

	g->number = frame_get_u64(in);
	g->is_known = frame_get_bool(in);
	count = frame_get_count(in, QUOTA_ITEMS_MAX);
	for (u32 i = 0; i < count && !in->err; i++) {
		struct quota_share s = { .organisation = frame_get_u64(in) };

		s.granted = get_u32(in);
		s.granted_again = get_u32(in);
		s.wait_ms = get_u32(in);
		s.spacing_ms = get_u32(in);
		g_array_append_val(g->shares, s);
	}
}
