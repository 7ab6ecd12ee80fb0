#include "control/op.h"

#include "control/join.h"
#include "lib/ctr.h"
#include "lib/err.h"
#include "wire/ctl.h"

#define OP_TEXT_MAX_BYTES 1024

struct op *op_new(enum op_kind kind)
{
	struct op *o = g_new0(struct op, 1);

	o->kind = kind;
	return o;
}

void op_free(struct op *o)
{
	if (o->command)
		g_bytes_unref(o->command);
	g_free(o->text);
	g_free(o);
}

static void finish(struct control *c, struct op *o, enum op_outcome outcome)
{
	/* NOT_RUN holds for the last attempt only; an earlier one may still commit. */
	if (outcome == OP_NOT_RUN && o->kind == OP_CHANGE && o->attempts > 1)
		outcome = OP_UNKNOWN;
	o->outcome = outcome;
	if (outcome == OP_UNKNOWN)
		ctr_inc(CTR_CHANGE_UNKNOWN);
	if (outcome == OP_NOT_RUN)
		ctr_inc(CTR_NO_QUORUM);
	g_hash_table_steal(c->ops, &o->seq);
	o->done(c, o);
}

static void start_member_change(struct control *c, struct op *o, u64 now_us)
{
	if (c->raft.members_index > o->seen_members_index) {
		o->result.is_superseded = true;
		o->result.serial = c->raft.members_index;
		finish(c, o, OP_DONE);
		return;
	}
	if (o->kind == OP_REPLACE)
		o->result.status = members_replace(c, o->member, o->start_us, now_us, &o->text);
	else
		o->result.status = members_remove(c, o->member, now_us, &o->text);
	if (o->result.status == MEMBERS_AWAIT_HEARTBEAT)
		return;
	finish(c, o, OP_DONE);
}

static void start_at_leader(struct control *c, struct op *o, u64 now_us)
{
	int err;

	switch (o->kind) {
	case OP_CHANGE:
		if (!join_is_complete(c))
			break;
		/* The entry may be applied before raft_propose returns. */
		o->index = raft_last_index(&c->raft) + 1;
		o->term = c->raft.term;
		o->is_started = true;
		o->may_have_run = true;
		o->attempts++;
		raft_propose(&c->raft, RAFT_COMMAND, o->command, now_us, &(u64){ 0 });
		break;
	case OP_READ:
		o->is_started = true;
		err = raft_read_index(&c->raft, o->seq, now_us);
		if (err)
			o->is_started = false;
		break;
	default:
		start_member_change(c, o, now_us);
		break;
	}
}

static void forward(struct control *c, struct op *o, struct link *k)
{
	gsize len = 0;
	const void *data = o->command ? g_bytes_get_data(o->command, &len) : NULL;
	FRAME_AUTO(f, CTL_FORWARD);

	frame_put_u64(&f, o->seq);
	frame_put_u64(&f, o->kind);
	frame_put_u64(&f, o->member);
	frame_put_u64(&f, o->seen_members_index);
	frame_put_bin(&f, data, len);
	if (peers_send_forward(c, k, &f))
		return;
	o->is_started = true;
	o->may_have_run = o->kind == OP_CHANGE;
	o->index = 0;
	o->attempts++;
	o->forwarded_to = k;
}

static void start(struct control *c, struct op *o, u64 now_us)
{
	struct link *k;

	if (c->raft.role == RAFT_LEADER) {
		start_at_leader(c, o, now_us);
		return;
	}
	/* A forwarded operation is not forwarded again, to avoid loops. */
	if (o->origin || !c->raft.leader)
		return;
	k = peers_link(c, c->raft.leader);
	if (k)
		forward(c, o, k);
}

void op_submit(struct control *c, struct op *o)
{
	u64 now = loop_clock_us();

	/* Before it is forwarded; at the leader once more, if that process was not up to date. */
	if (o->kind == OP_CHANGE)
		o->command = store_command_shrink(&c->store, o->command);
	o->seq = ++c->op_seq;
	o->start_us = now;
	g_hash_table_insert(c->ops, &o->seq, o);
	start(c, o, now);
	raft_host_arm(c);
}

static bool has_result_state(const struct control *c, const struct op *o)
{
	const struct store_result *r = &o->result;

	if (o->kind != OP_CHANGE)
		return c->raft.members_index >= r->serial;
	return c->store.revision >= r->revision && c->store.recent.serial >= r->serial;
}

/*
 * Returns whether this process has applied what the leader's result refers to. The reply waits
 * for that, since it also contains local state.
 */
static bool has_caught_up(const struct control *c, const struct op *o, u64 age_us)
{
	if (o->read_index && c->raft.applied >= o->read_index)
		return true;
	return o->is_answered && (has_result_state(c, o) || age_us > OP_TIMEOUT_US);
}

/* Returns whether another process leads by now. A read can be repeated there; a change can't. */
static bool is_read_superseded(struct control *c, const struct op *o)
{
	return o->kind == OP_READ && o->forwarded_to && c->raft.leader &&
	       peers_link(c, c->raft.leader) != o->forwarded_to;
}

static void poll_one(struct control *c, struct op *o, u64 now_us)
{
	u64 age = now_us - o->start_us;

	if (has_caught_up(c, o, age)) {
		finish(c, o, OP_DONE);
		return;
	}
	/* If the change may have run, wait for the next leader, which knows the outcome. */
	if (age > OP_TIMEOUT_US || (!o->is_started && !o->may_have_run && age > OP_NO_LEADER_US)) {
		finish(c, o, o->may_have_run ? OP_UNKNOWN : OP_NOT_RUN);
		return;
	}
	if (is_read_superseded(c, o)) {
		o->forwarded_to = NULL;
		o->is_started = false;
	}
	if (!o->is_started)
		start(c, o, now_us);
}

void op_poll(struct control *c, u64 now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->ops);

	for (GList *l = all; l; l = l->next)
		poll_one(c, l->data, now_us);
}

void op_end_all(struct control *c)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->ops);

	for (GList *l = all; l; l = l->next) {
		struct op *o = l->data;

		finish(c, o, o->may_have_run ? OP_UNKNOWN : OP_NOT_RUN);
	}
}

void op_applied(struct control *c, const struct raft_entry *e, const struct store_result *result)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->ops);

	for (GList *l = all; l; l = l->next) {
		struct op *o = l->data;

		if (o->kind != OP_CHANGE || !o->index || o->index != e->index)
			continue;
		/* The term differs: the proposed entry was overwritten and cannot commit. */
		if (o->term != e->term) {
			finish(c, o, OP_NOT_RUN);
			continue;
		}
		o->result = *result;
		finish(c, o, OP_DONE);
	}
}

void op_restored(struct control *c)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->ops);

	for (GList *l = all; l; l = l->next) {
		struct op *o = l->data;

		if (o->index && o->index <= c->raft.applied)
			finish(c, o, OP_UNKNOWN);
	}
}

void op_read_ready(struct control *c, u64 seq, bool is_ok)
{
	struct op *o = g_hash_table_lookup(c->ops, &seq);

	if (!o)
		return;
	if (!is_ok) {
		o->is_started = false;
		return;
	}
	o->read_index = c->raft.commit;
	finish(c, o, OP_DONE);
}

void op_link_down(struct control *c, const struct link *k)
{
	g_autoptr(GList) all = g_hash_table_get_values(c->ops);

	for (GList *l = all; l; l = l->next) {
		struct op *o = l->data;

		/* Changes are deduplicated by change id, so they can be sent to the next leader. */
		if (o->forwarded_to == k) {
			o->forwarded_to = NULL;
			o->is_started = o->is_answered;
		}
		if (o->origin == k)
			o->origin = NULL;
	}
}

static void send_forward_result(struct control *c, struct op *o)
{
	FRAME_AUTO(f, CTL_FORWARD_RESULT);

	(void)c;
	if (o->origin) {
		frame_put_u64(&f, o->origin_request);
		frame_put_u64(&f, o->outcome);
		frame_put_u64(&f, o->result.status);
		frame_put_u64(&f, o->result.version);
		frame_put_u64(&f, o->result.revision);
		frame_put_bool(&f, o->result.is_repeat);
		frame_put_bool(&f, o->result.is_superseded);
		frame_put_u64(&f, o->result.serial);
		frame_put_u64(&f, o->read_index);
		frame_put_str(&f, o->text);
		link_send(o->origin, &f);
	}
	op_free(o);
}

int op_receive_forward(struct control *c, struct link *k, struct frame_in *in)
{
	struct op *o = op_new(0);
	const void *data;
	size_t len;

	o->origin = k;
	o->origin_request = frame_get_u64(in);
	o->kind = (enum op_kind)frame_get_u64(in);
	o->member = (u32)frame_get_u64(in);
	o->seen_members_index = frame_get_u64(in);
	data = frame_get_bin(in, &len);
	o->command = g_bytes_new(data, len);
	o->done = send_forward_result;
	if (frame_done(in) || o->kind < OP_CHANGE || o->kind > OP_REMOVE) {
		op_free(o);
		return ERR_INVAL;
	}
	op_submit(c, o);
	return 0;
}

int op_receive_result(struct control *c, struct frame_in *in)
{
	u64 seq = frame_get_u64(in);
	enum op_outcome outcome = (enum op_outcome)frame_get_u64(in);
	struct op *o = g_hash_table_lookup(c->ops, &seq);
	struct store_result result = { 0 };
	g_autofree char *text = NULL;
	u64 read_index;

	result.status = (u16)frame_get_u64(in);
	result.version = frame_get_u64(in);
	result.revision = frame_get_u64(in);
	result.is_repeat = frame_get_bool(in);
	result.is_superseded = frame_get_bool(in);
	result.serial = frame_get_u64(in);
	read_index = frame_get_u64(in);
	text = frame_get_str(in, OP_TEXT_MAX_BYTES);
	if (frame_done(in) || outcome < OP_DONE || outcome > OP_UNKNOWN)
		return ERR_INVAL;
	if (!o)
		return 0;
	o->result = result;
	g_free(o->text);
	o->text = g_steal_pointer(&text);
	if (outcome == OP_DONE && o->kind == OP_READ) {
		o->read_index = read_index;
		poll_one(c, o, loop_clock_us());
		return 0;
	}
	/* A superseded order is proposed again once this process knows what came first. */
	o->is_answered = outcome == OP_DONE && (o->kind == OP_CHANGE || result.is_superseded);
	if (o->is_answered)
		poll_one(c, o, loop_clock_us());
	else
		finish(c, o, outcome);
	return 0;
}
