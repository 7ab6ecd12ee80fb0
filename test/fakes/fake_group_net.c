/* The simulated network of fake_group: links, lanes and messages on their way. */
#include "test/fakes/fake_group_impl.h"

#include "lib/err.h"
#include "wire/ctl.h"

#include <string.h>

#define DELAY_MIN_US 200

void fake_message_free(gpointer p)
{
	struct fake_message *m = p;

	g_bytes_unref(m->frame);
	g_free(m);
}

/* Returns when a message of BYTES that is sent now arrives. */
static u64 arrival_us(struct fake_group *g, u32 from, size_t bytes)
{
	u64 *free_us = &g->link_free_us[from];

	if (!g->bytes_per_s)
		return g->now_us + DELAY_MIN_US + rng_below(&g->rng, g->delay_max_us + 1);
	*free_us = MAX(*free_us, g->now_us) + bytes * US_PER_S / g->bytes_per_s;
	return *free_us + DELAY_MIN_US;
}

static void queue_message(struct fake_group *g, u32 from, u32 to, GBytes *frame)
{
	struct fake_message *m = g_new0(struct fake_message, 1);

	m->from = from;
	m->to = to;
	m->frame = g_bytes_ref(frame);
	m->epoch = g->lanes[from][to].epoch;
	m->seq = g->messages++;
	m->due_us = arrival_us(g, from, g_bytes_get_size(frame));
	g_ptr_array_add(g->queue, m);
}

static void break_lane(struct fake_lane *l)
{
	bulk_out_clear(&l->out);
	bulk_in_clear(&l->in);
	l->epoch++;
}

void fake_group_break_links(struct fake_group *g, u32 a, u32 b)
{
	break_lane(&g->lanes[a][b]);
	break_lane(&g->lanes[b][a]);
}

static void send_frame(struct fake_group *g, u32 from, u32 to, struct frame_out *out)
{
	g_autoptr(GBytes) frame = NULL;

	if (frame_end(out) > FRAME_MAX_BYTES)
		fake_group_report(g, "a message exceeds the frame size limit", from, 0);
	g->bytes += out->buf.size;
	if (g->r[from].is_ending || !to || to > g->n)
		return;
	if (g->cut[from][to]) {
		fake_group_break_links(g, from, to);
		return;
	}
	if (rng_below(&g->rng, 100) < g->drop_percent)
		return;
	frame = g_bytes_new(out->buf.data + FRAME_HEADER_BYTES, out->buf.size - FRAME_HEADER_BYTES);
	queue_message(g, from, to, frame);
	if (rng_below(&g->rng, 100) < g->duplicate_percent)
		queue_message(g, from, to, frame);
}

static void send_part(void *arg, struct frame_out *part)
{
	struct fake_lane *l = arg;

	send_frame(l->group, l->from, l->to, part);
}

void fake_group_send(struct raft *r, u32 to, const struct raft_msg *m)
{
	struct fake_replica *f = replica_of(r);
	struct fake_lane *l = to <= f->group->n ? &f->group->lanes[f->id][to] : NULL;
	FRAME_AUTO(out, CTL_RAFT);

	raft_msg_put(&out, m);
	if (!f->group->bytes_per_s || !l || !f->group->r[to].is_up || !m->is_ordered ||
	    !bulk_needs_lane(&l->out, &out, m->unacknowledged)) {
		send_frame(f->group, f->id, to, &out);
		return;
	}
	bulk_put(&l->out, &out);
	bulk_send(&l->out, BULK_LOG, send_part, l);
}

bool fake_group_is_sending(struct raft *r, u32 to)
{
	struct fake_replica *f = replica_of(r);

	return to <= f->group->n && bulk_is_sending(&f->group->lanes[f->id][to].out);
}

void fake_group_isolate(struct fake_group *g, u32 id)
{
	for (u32 other = 1; other <= g->n; other++) {
		g->cut[id][other] = other != id;
		g->cut[other][id] = other != id;
	}
}

void fake_group_heal(struct fake_group *g)
{
	memset(g->cut, 0, sizeof(g->cut));
}

static int receive_raft(void *arg, u32 type, struct frame_in *in)
{
	struct fake_lane *l = arg;
	__attribute__((cleanup(raft_msg_clear))) struct raft_msg msg = { 0 };

	if (type != CTL_RAFT || raft_msg_get(in, &msg))
		return ERR_INVAL;
	raft_step(fake_raft(l->group, l->to), &msg, l->group->now_us);
	return 0;
}

static int receive_part(struct fake_lane *l, struct frame_in *in)
{
	u64 lane = frame_get_u64(in);
	u64 offset = frame_get_u64(in);
	size_t len;
	const void *p = frame_get_bin(in, &len);
	FRAME_AUTO(f, CTL_BULK_ACK);
	int err = bulk_receive(&l->in, offset, p, len, receive_raft, l);

	frame_put_u64(&f, lane);
	frame_put_u64(&f, l->in.received);
	send_frame(l->group, l->to, l->from, &f);
	return err;
}

/* Handles the acknowledgement of parts that went through L. */
static int receive_ack(struct fake_lane *l, struct frame_in *in)
{
	int err;

	frame_get_u64(in);
	err = bulk_acknowledge(&l->out, frame_get_u64(in));
	bulk_send(&l->out, BULK_LOG, send_part, l);
	return err;
}

static int receive_frame(struct fake_group *g, const struct fake_message *m, struct frame_in *in)
{
	u32 type = (u32)frame_get_u64(in);

	switch (type) {
	case CTL_BULK:
		return receive_part(&g->lanes[m->from][m->to], in);
	case CTL_BULK_ACK:
		return receive_ack(&g->lanes[m->to][m->from], in);
	default:
		return receive_raft(&g->lanes[m->from][m->to], type, in);
	}
}

void fake_group_deliver(struct fake_group *g, struct fake_message *m)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(m->frame, &len);

	if (!g->r[m->to].is_up)
		return;
	if (g->cut[m->from][m->to]) {
		fake_group_break_links(g, m->from, m->to);
		return;
	}
	if (g->bytes_per_s && m->epoch != g->lanes[m->from][m->to].epoch)
		return;
	frame_in_init(&in, p, len);
	if (receive_frame(g, m, &in))
		fake_group_report(g, "a message cannot be decoded", m->from, 0);
	fake_group_after_step(g, m->to);
}

guint fake_group_next_message(const struct fake_group *g)
{
	guint best = 0;

	for (guint i = 1; i < g->queue->len; i++) {
		const struct fake_message *m = g_ptr_array_index(g->queue, i);
		const struct fake_message *b = g_ptr_array_index(g->queue, best);

		if (m->due_us < b->due_us || (m->due_us == b->due_us && m->seq < b->seq))
			best = i;
	}
	return best;
}
