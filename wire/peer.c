#include "wire/peer.h"

#include "lib/err.h"
#include "lib/set.h"

#include <string.h>

/* A call id as text: numbers of 64 bits in hexadecimal digits. */
#define ID_PARTS 3
#define ID_PART_DIGITS_MAX 16

guint call_id_hash(gconstpointer p)
{
	const struct call_id *id = p;

	return (guint)((id->origin ^ id->incarnation) * 31 + id->seq);
}

gboolean call_id_equal(gconstpointer a, gconstpointer b)
{
	const struct call_id *x = a;
	const struct call_id *y = b;

	return x->incarnation == y->incarnation && x->seq == y->seq && x->origin == y->origin;
}

void peer_id_to_text(struct call_id id, char text[PEER_ID_TEXT_BYTES])
{
	g_snprintf(text, PEER_ID_TEXT_BYTES, "%llx-%llx-%llx", (unsigned long long)id.incarnation,
		   (unsigned long long)id.seq, (unsigned long long)id.origin);
}

bool peer_is_id_text(const char *text)
{
	for (u32 i = 0; i < ID_PARTS; i++) {
		size_t digits = strspn(text, "0123456789abcdef");
		char end = i + 1 < ID_PARTS ? '-' : '\0';

		if (!digits || digits > ID_PART_DIGITS_MAX || text[digits] != end)
			return false;
		text += digits + 1;
	}
	return true;
}

void peer_id_put(struct frame_out *f, struct call_id id)
{
	frame_put_u64(f, id.incarnation);
	frame_put_u64(f, id.seq);
	frame_put_u64(f, id.origin);
}

struct call_id peer_id_get(struct frame_in *in)
{
	struct call_id id;

	id.incarnation = frame_get_u64(in);
	id.seq = frame_get_u64(in);
	id.origin = frame_get_u64(in);
	return id;
}

void peer_load_put(struct frame_out *f, const struct peer_load *l)
{
	frame_put_u64(f, l->running);
	frame_put_u64(f, l->queued);
	frame_put_u64(f, l->limit);
	frame_put_u64(f, l->knee);
	frame_put_u64(f, l->lowest_worth);
	frame_put_u64(f, l->service_us);
	frame_put_u64(f, l->slowness_percent);
	frame_put_bool(f, l->is_draining);
	frame_put_u64(f, l->nwaits);
	for (u32 i = 0; i < l->nwaits; i++) {
		frame_put_u64(f, l->waits[i].worth);
		frame_put_u64(f, l->waits[i].wait_us);
		frame_put_u64(f, l->waits[i].work_us);
	}
}

void peer_load_get(struct frame_in *in, struct peer_load *l)
{
	l->running = (u32)frame_get_u64(in);
	l->queued = (u32)frame_get_u64(in);
	l->limit = (u32)frame_get_u64(in);
	l->knee = (u32)frame_get_u64(in);
	l->lowest_worth = (u32)frame_get_u64(in);
	l->service_us = frame_get_u64(in);
	l->slowness_percent = (u32)frame_get_u64(in);
	l->is_draining = frame_get_bool(in);
	l->nwaits = frame_get_count(in, PEER_WAITS_MAX);
	for (u32 i = 0; i < l->nwaits; i++) {
		l->waits[i].worth = (u32)frame_get_u64(in);
		l->waits[i].wait_us = frame_get_u64(in);
		l->waits[i].work_us = frame_get_u64(in);
	}
}

void peer_call_put(struct frame_out *f, const struct peer_call *c)
{
	peer_id_put(f, c->id);
	frame_put_str(f, c->service);
	frame_put_str(f, c->rank);
	frame_put_u64(f, c->deadline_us);
	frame_put_u64(f, c->revision);
	frame_put_u64(f, c->worth);
	frame_put_u64(f, c->target_us);
	frame_put_bool(f, c->is_idempotent);
	frame_put_bool(f, c->has_alternative);
	frame_put_u64(f, c->organisation);
	frame_put_u64(f, c->route);
	frame_put_u64(f, c->refused_before);
	frame_put_u64(f, c->body_len);
	http_encode(f, c->msg);
}

void peer_call_clear(struct peer_call *c)
{
	g_free(c->service);
	g_free(c->rank);
	http_free(c->msg);
	memset(c, 0, sizeof(*c));
}

int peer_call_get(struct frame_in *in, struct peer_call *c)
{
	c->id = peer_id_get(in);
	c->service = frame_get_str(in, SET_TEXT_MAX_BYTES);
	c->rank = frame_get_str(in, PEER_NAME_MAX_BYTES);
	c->deadline_us = frame_get_u64(in);
	c->revision = frame_get_u64(in);
	c->worth = (u32)frame_get_u64(in);
	c->target_us = frame_get_u64(in);
	c->is_idempotent = frame_get_bool(in);
	c->has_alternative = frame_get_bool(in);
	c->organisation = frame_get_u64(in);
	c->route = frame_get_u64(in);
	c->refused_before = (u32)frame_get_u64(in);
	c->body_len = frame_get_u64(in);
	c->msg = http_decode(in);
	if (!c->msg || frame_done(in)) {
		peer_call_clear(c);
		return ERR_INVAL;
	}
	return 0;
}

void peer_reply_put(struct frame_out *f, const struct peer_reply *r)
{
	peer_id_put(f, r->id);
	peer_load_put(f, &r->load);
	frame_put_u64(f, r->body_len);
	http_encode(f, r->msg);
}

int peer_reply_get(struct frame_in *in, struct peer_reply *r)
{
	r->id = peer_id_get(in);
	peer_load_get(in, &r->load);
	r->body_len = frame_get_u64(in);
	r->msg = http_decode(in);
	if (r->msg && !frame_done(in) && http_is_final_status(r->msg->status))
		return 0;
	http_free(r->msg);
	r->msg = NULL;
	return ERR_INVAL;
}

void peer_refuse_put(struct frame_out *f, const struct peer_refuse *r)
{
	peer_id_put(f, r->id);
	peer_load_put(f, &r->load);
	frame_put_bool(f, r->is_not_run);
	frame_put_str(f, r->reason);
}

int peer_refuse_get(struct frame_in *in, struct peer_refuse *r)
{
	r->id = peer_id_get(in);
	peer_load_get(in, &r->load);
	r->is_not_run = frame_get_bool(in);
	r->reason = frame_get_str(in, PEER_NAME_MAX_BYTES);
	if (!frame_done(in))
		return 0;
	g_clear_pointer(&r->reason, g_free);
	return ERR_INVAL;
}

int peer_body_get(struct frame_in *in, struct peer_body *b)
{
	b->id = peer_id_get(in);
	b->data = frame_get_bin(in, &b->len);
	return frame_done(in);
}

int peer_send_body(struct link *k, struct call_id id, const GByteArray *body)
{
	for (size_t off = 0; off < body->len; off += PEER_BODY_FRAME_BYTES) {
		size_t len = MIN((size_t)PEER_BODY_FRAME_BYTES, body->len - off);
		int err;
		FRAME_AUTO(f, PEER_BODY);

		peer_id_put(&f, id);
		frame_put_bin(&f, body->data + off, len);
		err = link_send(k, &f);
		if (err)
			return err;
	}
	return 0;
}
