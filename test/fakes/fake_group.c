#include "test/fakes/fake_group.h"

#include "control/op.h"
#include "lib/err.h"
#include "wire/ctl.h"

#include <string.h>
#include <xxhash.h>

#define DELAY_MIN_US 200
#define READ_WAIT_MAX 100000

struct fake_message {
	u64 due_us;
	u64 seq;
	u32 from;
	u32 to;
	u32 epoch; /* of the link */
	GBytes *frame;
};

struct fake_commit {
	u64 term;
	u64 hash; /* hash of the entry */
	u64 state; /* state hash after the entry; 0 while unknown */
};

struct fake_read {
	u64 min_commit_index; /* highest index applied by any replica when the read began */
	u32 id;
	bool is_done;
};

struct fake_proposal {
	u64 index;
	u64 term;
	u32 id;
	bool is_acked;
};

struct raft *fake_raft(struct fake_group *g, u32 id)
{
	return &g->r[id].control.raft;
}

static struct fake_replica *replica_of(struct raft *r)
{
	return r->arg;
}

static void report_violation(struct fake_group *g, const char *what, u32 id, u64 index)
{
	if (!g->violation)
		g->violation = g_strdup_printf("seed %" G_GUINT64_FORMAT " at %" G_GUINT64_FORMAT
					       " us: %s (replica %u, index %" G_GUINT64_FORMAT ")",
					       g->seed, g->now_us, what, id, index);
}

static void message_free(gpointer p)
{
	struct fake_message *m = p;

	g_bytes_unref(m->frame);
	g_free(m);
}

/* Checks */

static u64 entry_hash(const struct raft_entry *e)
{
	gsize len;
	const void *p = g_bytes_get_data(e->data, &len);

	return XXH64(p, len, e->kind) | 1;
}

/* Log matching: an index and term identify one entry with one predecessor. */
static void check_entry(struct fake_replica *f, const struct raft_entry *e, u64 previous_term)
{
	struct fake_group *g = f->group;
	g_autofree char *key =
		g_strdup_printf("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, e->index, e->term);
	u64 hash = entry_hash(e) ^ (previous_term * 0x9e3779b97f4a7c15ULL);
	u64 *known = g_hash_table_lookup(g->entries, key);

	if (previous_term > e->term)
		report_violation(g, "the term decreases along the log", f->id, e->index);
	if (known && *known != hash)
		report_violation(g, "different entries with the same index and term", f->id,
				 e->index);
	if (known)
		return;
	known = g_new(u64, 1);
	*known = hash;
	g_hash_table_insert(g->entries, g_steal_pointer(&key), known);
}

static struct fake_commit *commit_at(struct fake_group *g, u64 index)
{
	if (g->committed->len <= index)
		g_array_set_size(g->committed, (guint)index + 1);
	return &g_array_index(g->committed, struct fake_commit, index);
}

static void check_state(struct fake_replica *f, u64 index)
{
	struct fake_commit *c = commit_at(f->group, index);
	u64 state = f->hash | 1;

	if (c->state && c->state != state)
		report_violation(f->group, "replicas have different states at the same index",
				 f->id, index);
	c->state = state;
}

static void check_leader(struct fake_replica *f)
{
	struct fake_group *g = f->group;
	struct raft *r = &f->control.raft;
	u64 last = g->committed->len - 1;
	gpointer known;

	if (r->role != RAFT_LEADER)
		return;
	known = g_hash_table_lookup(g->leaders, GSIZE_TO_POINTER(r->term));
	if (known && GPOINTER_TO_UINT(known) != f->id)
		report_violation(g, "two leaders in one term", f->id, r->term);
	if (known)
		return;
	g_hash_table_insert(g->leaders, GSIZE_TO_POINTER(r->term), GUINT_TO_POINTER(f->id));
	/* The leader's log may already end with its own first entry. */
	if (last > raft_last_index(r) ||
	    (last > r->snap_index && raft_term_at(r, last) != commit_at(g, last)->term))
		report_violation(g, "a leader lacks a committed entry", f->id, last);
}

/* Raft callbacks */

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

/* Ends the links between two replicas. */
static void break_links(struct fake_group *g, u32 a, u32 b)
{
	break_lane(&g->lanes[a][b]);
	break_lane(&g->lanes[b][a]);
}

static void send_frame(struct fake_group *g, u32 from, u32 to, struct frame_out *out)
{
	g_autoptr(GBytes) frame = NULL;

	if (frame_end(out) > FRAME_MAX_BYTES)
		report_violation(g, "a message exceeds the frame size limit", from, 0);
	g->bytes += out->buf.size;
	if (g->r[from].is_ending || !to || to > g->n)
		return;
	if (g->cut[from][to]) {
		break_links(g, from, to);
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

static void group_send(struct raft *r, u32 to, const struct raft_msg *m)
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

static bool group_is_sending(struct raft *r, u32 to)
{
	struct fake_replica *f = replica_of(r);

	return to <= f->group->n && bulk_is_sending(&f->group->lanes[f->id][to].out);
}

static void crash_on_error(struct fake_replica *f, int err)
{
	if (err)
		f->is_ending = true;
}

static void group_save_state(struct raft *r, u64 term, u32 vote)
{
	struct fake_replica *f = replica_of(r);

	crash_on_error(f, wal_save_state(&f->control.wal, term, vote));
}

static void group_append(struct raft *r, GPtrArray *entries)
{
	struct fake_replica *f = replica_of(r);
	const struct raft_entry *first = g_ptr_array_index(entries, 0);
	u64 previous = raft_term_at(r, first->index - 1);

	for (guint i = 0; i < entries->len; i++) {
		const struct raft_entry *e = g_ptr_array_index(entries, i);

		check_entry(f, e, previous);
		previous = e->term;
	}
	if (first->index <= r->commit)
		report_violation(f->group, "a committed entry was overwritten", f->id,
				 first->index);
	crash_on_error(f, wal_append(&f->control.wal, entries));
}

static void group_save_snapshot(struct raft *r, u64 index, u64 term,
				const struct raft_members *members, GBytes *state)
{
	struct fake_replica *f = replica_of(r);

	crash_on_error(f, wal_save_snapshot(&f->control.wal, r, index, term, members, state));
}

static void acknowledge(struct fake_replica *f, const struct raft_entry *e)
{
	GArray *all = f->group->proposals;

	for (guint i = all->len; i > 0; i--) {
		struct fake_proposal *p = &g_array_index(all, struct fake_proposal, i - 1);

		if (p->id != f->id || p->index != e->index || p->term != e->term || p->is_acked)
			continue;
		p->is_acked = true;
		f->group->acked++;
		return;
	}
}

/* A valid change of the store may be refused for its version, but never be unreadable. */
static void apply_to_store(struct fake_replica *f, const struct raft_entry *e)
{
	struct store_result result;

	if (!f->group->has_store)
		return;
	store_apply(&f->control.store, e->data, &result);
	if (result.status == 400)
		report_violation(f->group, "a change cannot be applied", f->id, e->index);
}

static void group_apply(struct raft *r, const struct raft_entry *e)
{
	struct fake_replica *f = replica_of(r);
	struct fake_commit *c;
	u64 hash = entry_hash(e);

	if (f->is_ending)
		return;
	c = commit_at(f->group, e->index);
	if (c->hash && (c->hash != hash || c->term != e->term))
		report_violation(f->group, "a committed entry changed", f->id, e->index);
	c->hash = hash;
	c->term = e->term;
	if (e->kind == RAFT_COMMAND) {
		f->count++;
		f->hash = XXH64(&hash, sizeof(hash), f->hash);
		apply_to_store(f, e);
		acknowledge(f, e);
	}
	check_state(f, e->index);
}

static void restore_store(struct fake_replica *f, GBytes *state)
{
	gsize len = g_bytes_get_size(state);
	g_autoptr(GBytes) data = g_bytes_new_from_bytes(state, MIN(len, 16), len - MIN(len, 16));

	if (store_restore(&f->control.store, data))
		report_violation(f->group, "a snapshot of the store is malformed", f->id, 0);
}

static void group_restore(struct raft *r, u64 index, GBytes *state)
{
	struct fake_replica *f = replica_of(r);
	gsize len;
	const u8 *p = g_bytes_get_data(state, &len);

	f->count = 0;
	f->hash = 0;
	if (len >= 16) {
		memcpy(&f->count, p, 8);
		memcpy(&f->hash, p + 8, 8);
	}
	if (f->group->has_store) {
		restore_store(f, state);
		len = 0;
	}
	for (gsize i = 16; i < len; i++)
		if (p[i] != (u8)(i * 31 + f->count))
			report_violation(f->group, "a received snapshot is corrupted", f->id,
					 index);
	if (!f->is_ending)
		check_state(f, index);
}

static GBytes *snapshot_with_store(const struct fake_replica *f)
{
	g_autoptr(GBytes) store = store_snapshot(&f->control.store);
	GByteArray *out = g_byte_array_new();
	gsize len;
	const void *p = g_bytes_get_data(store, &len);

	g_byte_array_append(out, (const guint8 *)&f->count, 8);
	g_byte_array_append(out, (const guint8 *)&f->hash, 8);
	g_byte_array_append(out, p, (guint)len);
	return g_byte_array_free_to_bytes(out);
}

static GBytes *group_snapshot(struct raft *r)
{
	struct fake_replica *f = replica_of(r);

	if (f->group->has_store)
		return snapshot_with_store(f);

	gsize len = 16 + f->group->state_pad_bytes;
	u8 *p;

	p = g_malloc(len);
	memcpy(p, &f->count, 8);
	memcpy(p + 8, &f->hash, 8);
	for (gsize i = 16; i < len; i++)
		p[i] = (u8)(i * 31 + f->count);
	return g_bytes_new_take(p, len);
}

static void group_read_ready(struct raft *r, u64 read_id, bool is_ok)
{
	struct fake_replica *f = replica_of(r);
	struct fake_read *read = &g_array_index(f->group->reads, struct fake_read, read_id);

	if (f->is_ending)
		return;
	if (read->is_done || read->id != f->id)
		report_violation(f->group, "a read completed twice or on another replica", f->id,
				 read_id);
	read->is_done = true;
	if (!is_ok)
		return;
	f->group->reads_done++;
	if (r->commit < read->min_commit_index)
		report_violation(f->group, "a read returned stale state", f->id,
				 read->min_commit_index);
}

static const struct raft_ops group_ops = {
	.send = group_send,
	.is_sending = group_is_sending,
	.save_state = group_save_state,
	.append = group_append,
	.save_snapshot = group_save_snapshot,
	.apply = group_apply,
	.restore = group_restore,
	.snapshot = group_snapshot,
	.read_ready = group_read_ready,
};

/* Starting and stopping replicas */

static struct raft_members founders(const struct fake_group *g)
{
	struct raft_members m = { .n = g->n };

	for (u32 i = 0; i < g->n; i++) {
		m.m[i].id = i + 1;
		m.m[i].at.port = (u16)(i + 1);
		g_strlcpy(m.m[i].at.host, "127.0.0.1", sizeof(m.m[i].at.host));
	}
	return m;
}

void fake_group_start(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];
	struct raft *r = &f->control.raft;
	struct raft_members members = founders(g);
	g_autofree char *why = NULL;
	int err;

	if (f->is_up)
		return;
	f->is_ending = false;
	f->count = 0;
	f->hash = 0;
	store_init(&f->control.store);
	err = wal_open(&f->control.wal, &f->disk->disk, id * 1000 + ++g->starts, &why);
	raft_init(r, &group_ops, f, id, f->control.wal.replica, rng_next(&g->rng), g->now_us);
	if (g->chunk_bytes) {
		r->chunk_bytes = g->chunk_bytes;
		r->retained_entries_max = g->retained_entries_max;
	}
	r->copies_min = g->copies_min;
	if (!err)
		err = wal_load(&f->control.wal, r, &why);
	f->is_up = true;
	/* A process that cannot read or write its disk exits. */
	if (err == ERR_IO) {
		fake_group_crash(g, id);
		return;
	}
	if (err)
		report_violation(g, why ? why : "the disk cannot be loaded", id, 0);
	if (r->role == RAFT_FORMING)
		raft_form_group(r, &members);
}

void fake_group_crash(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];

	if (!f->is_up)
		return;
	raft_clear(&f->control.raft);
	store_clear(&f->control.store);
	memset(&f->control.raft, 0, sizeof(f->control.raft));
	fake_disk_crash(f->disk);
	f->is_up = false;
	for (u32 other = 1; other <= g->n; other++)
		break_links(g, id, other);
}

void fake_group_wipe_disk(struct fake_group *g, u32 id)
{
	fake_disk_free(g->r[id].disk);
	g->r[id].disk = fake_disk_new(rng_next(&g->rng));
}

struct fake_group *fake_group_new(u32 n, u64 seed)
{
	struct fake_group *g = g_new0(struct fake_group, 1);

	g->seed = seed;
	g->rng.state = seed * 0x2545f4914f6cdd1dULL;
	g->n = n;
	g->now_us = US_PER_S;
	g->delay_max_us = 5000;
	g->queue = g_ptr_array_new_with_free_func(message_free);
	g->leaders = g_hash_table_new(NULL, NULL);
	g->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->committed = g_array_new(FALSE, TRUE, sizeof(struct fake_commit));
	g_array_set_size(g->committed, 1);
	g->reads = g_array_new(FALSE, TRUE, sizeof(struct fake_read));
	g->proposals = g_array_new(FALSE, TRUE, sizeof(struct fake_proposal));
	for (u32 from = 1; from <= n; from++)
		for (u32 to = 1; to <= n; to++)
			g->lanes[from][to] =
				(struct fake_lane){ .group = g, .from = from, .to = to };
	for (u32 id = 1; id <= n; id++) {
		g->r[id].group = g;
		g->r[id].id = id;
		g->r[id].disk = fake_disk_new(rng_next(&g->rng));
		fake_group_start(g, id);
	}
	return g;
}

void fake_group_free(struct fake_group *g)
{
	for (u32 id = 1; id <= g->n; id++) {
		fake_group_crash(g, id);
		fake_disk_free(g->r[id].disk);
	}
	g_ptr_array_unref(g->queue);
	g_hash_table_unref(g->leaders);
	g_hash_table_unref(g->entries);
	g_array_unref(g->committed);
	g_array_unref(g->reads);
	g_array_unref(g->proposals);
	g_free(g->violation);
	g_free(g);
}

/* Network and clock */

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

static void after_step(struct fake_group *g, u32 id)
{
	struct fake_replica *f = &g->r[id];

	if (f->is_up && f->is_ending)
		fake_group_crash(g, id);
	if (f->is_up)
		check_leader(f);
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

static void deliver(struct fake_group *g, struct fake_message *m)
{
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(m->frame, &len);

	if (!g->r[m->to].is_up)
		return;
	if (g->cut[m->from][m->to]) {
		break_links(g, m->from, m->to);
		return;
	}
	if (g->bytes_per_s && m->epoch != g->lanes[m->from][m->to].epoch)
		return;
	frame_in_init(&in, p, len);
	if (receive_frame(g, m, &in))
		report_violation(g, "a message cannot be decoded", m->from, 0);
	after_step(g, m->to);
}

static guint next_message(const struct fake_group *g)
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

static u32 next_timer(struct fake_group *g)
{
	u32 best = 0;

	for (u32 id = 1; id <= g->n; id++)
		if (g->r[id].is_up && (!best || raft_next_due_us(fake_raft(g, id)) <
							raft_next_due_us(fake_raft(g, best))))
			best = id;
	return best;
}

/* Delivers one message or runs one tick. Returns false if none is due by END_US. */
static bool run_next_event(struct fake_group *g, u64 end_us)
{
	u32 timer = next_timer(g);
	u64 timer_us = timer ? raft_next_due_us(fake_raft(g, timer)) : UINT64_MAX;
	guint at = next_message(g);
	struct fake_message *m = g->queue->len ? g_ptr_array_index(g->queue, at) : NULL;

	if (m && m->due_us <= timer_us && m->due_us <= end_us) {
		g->now_us = MAX(g->now_us, m->due_us);
		g_ptr_array_steal_index_fast(g->queue, at);
		deliver(g, m);
		message_free(m);
		return true;
	}
	if (timer_us > end_us)
		return false;
	g->now_us = MAX(g->now_us, timer_us);
	raft_tick(fake_raft(g, timer), g->now_us);
	after_step(g, timer);
	return true;
}

void fake_group_run(struct fake_group *g, u64 span_us)
{
	u64 end_us = g->now_us + span_us;

	while (!g->violation && run_next_event(g, end_us))
		continue;
	g->now_us = MAX(g->now_us, end_us);
}

u32 fake_group_leader(const struct fake_group *g)
{
	u32 best = 0;

	for (u32 id = 1; id <= g->n; id++) {
		const struct raft *r = &g->r[id].control.raft;

		if (g->r[id].is_up && r->role == RAFT_LEADER &&
		    (!best || r->term > g->r[best].control.raft.term))
			best = id;
	}
	return best;
}

static bool is_settled(struct fake_group *g)
{
	u32 leader = fake_group_leader(g);
	struct raft *l = fake_raft(g, leader);

	if (!leader || l->applied != raft_last_index(l) || raft_term_at(l, l->commit) != l->term ||
	    l->commit + 1 < g->committed->len)
		return false;
	for (u32 id = 1; id <= g->n; id++) {
		bool is_member = raft_member_find(&l->members, id) != NULL;

		if (g->r[id].is_up && is_member && fake_raft(g, id)->applied != l->applied)
			return false;
	}
	return true;
}

bool fake_group_settle(struct fake_group *g, u64 span_us)
{
	u64 end_us = g->now_us + span_us;

	while (!g->violation && g->now_us < end_us) {
		fake_group_run(g, 10 * US_PER_MS);
		if (is_settled(g))
			return !g->violation;
	}
	return false;
}

/* Client and operator requests */

bool fake_group_propose(struct fake_group *g, u32 id)
{
	u64 command = g->proposals->len + 1;
	g_autoptr(GBytes) data = g_bytes_new(&command, sizeof(command));

	return fake_group_propose_command(g, id, data);
}

bool fake_group_propose_command(struct fake_group *g, u32 id, GBytes *command)
{
	struct raft *r = fake_raft(g, id);
	struct fake_proposal p = { .id = id, .term = r->term };
	u64 index;

	if (!g->r[id].is_up || r->role != RAFT_LEADER)
		return false;
	p.index = raft_last_index(r) + 1;
	g_array_append_val(g->proposals, p);
	if (raft_propose(r, RAFT_COMMAND, command, g->now_us, &index))
		report_violation(g, "the leader rejected a proposal", id, 0);
	after_step(g, id);
	return true;
}

bool fake_group_read(struct fake_group *g, u32 id)
{
	struct fake_read read = { .id = id, .min_commit_index = g->committed->len - 1 };

	if (!g->r[id].is_up || fake_raft(g, id)->role != RAFT_LEADER)
		return false;
	g_array_append_val(g->reads, read);
	return !raft_read_index(fake_raft(g, id), g->reads->len - 1, g->now_us);
}

u16 fake_group_replace(struct fake_group *g, u32 id, u64 since_us)
{
	u32 leader = fake_group_leader(g);
	g_autofree char *text = NULL;
	u16 status;

	if (!leader)
		return 0;
	status = members_replace(&g->r[leader].control, id, since_us, g->now_us, &text);
	after_step(g, leader);
	return status;
}
