/* Which answer of the upstream belongs to which request. */
#include "node/upstream_impl.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"

/* Answers to other requests that are skipped before the connection is closed. */
#define FOREIGN_ANSWERS_MAX 2

static int read_error(const struct upstream_conn *c, int err)
{
	if (err == ERR_TOOBIG || err == ERR_UNCERTAIN || err == ERR_STATUS)
		return err;
	return c->read.is_in_body ? ERR_TRUNCATED : ERR_CLOSED;
}

void upstream_fail_answer(struct upstream_conn *c, int err)
{
	upstream_fail(c, read_error(c, err));
}

/* Returns whether M answers another request, and counts it. */
static bool is_foreign_answer(struct upstream_conn *c, const struct http_msg *m)
{
	if (c->u->dialect->is_answer_to(m, c->call->request))
		return false;
	ctr_inc(CTR_FOREIGN_ANSWER);
	c->foreign_answers++;
	return true;
}

/*
 * Returns whether M, or the beginning of its head, may be a copy of an answer to an earlier request
 * on this connection.
 */
static bool is_uncertain_answer(const struct upstream_conn *c, const struct http_msg *m)
{
	if (c->answers == 1)
		return false;
	if (c->read.is_joined)
		return true;
	if (c->call->is_poll || c->u->dialect->names_request(m, c->call->request))
		return false;
	return c->u->dialect->has_ids || c->foreign_answers;
}

static void note_spoilt_id(const struct upstream_conn *c, const struct http_msg *m)
{
	const char *id = c->u->dialect->id(c->call->request);

	if (!c->u->dialect->is_id_spoilt(m))
		return;
	ctr_inc(CTR_ANSWER_ID_SPOILT);
	if (log_should_write("answer id", id, true))
		log_event(LOG_WARN, "answer id can't be read, taken as none", "request",
			  id ? id : "", "status", log_u64(m->status), NULL);
}

/* Returns 0 if M answers the call, 1 if it is skipped, or an error that ends the call. */
static int judge_answer(struct upstream_conn *c, const struct http_msg *m)
{
	c->answers++;
	note_spoilt_id(c, m);
	if (is_foreign_answer(c, m))
		return c->foreign_answers > FOREIGN_ANSWERS_MAX ? ERR_CLOSED : 1;
	return is_uncertain_answer(c, m) ? ERR_UNCERTAIN : 0;
}

/*
 * Takes the answer that was read, with LEN bytes behind it. Returns 0 if it has ended the call, 1
 * if it was skipped, or an error that ends the call.
 */
static int take_answer(struct upstream_conn *c, size_t len)
{
	struct http_msg *m = g_steal_pointer(&c->read.msg);
	struct upstream_call *call = c->call;
	const struct dialect *d = c->u->dialect;
	int err = judge_answer(c, m);

	c->has_answer = false;
	if (err) {
		http_free(m);
		return err;
	}
	if (len)
		c->foreign_answers++;
	call->is_named = d->names_request(m, call->request);
	call->may_be_copy = c->answers > 1 && (call->is_poll || !call->is_named);
	upstream_release(c, m);
	d->set_attempt_id(m, NULL);
	upstream_finish(call, 0, m);
	return 0;
}

bool upstream_parse(struct upstream_conn *c, const u8 *data, size_t len)
{
	do {
		size_t remaining = 0;
		int err = http_read_feed(&c->read, data, len, &remaining);

		data += len - remaining;
		len = remaining;
		if (!err && c->has_answer) {
			err = take_answer(c, len);
			if (!err)
				return true;
		}
		if (err >= 0)
			err = upstream_account_buffered(c,
							c->read.msg ? c->read.msg->body->len : 0);
		if (err < 0) {
			upstream_fail_answer(c, err);
			return true;
		}
	} while (len);
	return false;
}
