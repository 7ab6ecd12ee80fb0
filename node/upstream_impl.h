/*
 * upstream_impl - private declarations shared by the source files of upstream
 *
 * SOURCE node/upstream.c (calls and their connections), node/upstream_request.c (what is sent),
 * node/upstream_answer.c (whose answer it is), node/upstream_reuse.c (which connections are used
 * again)
 */
#ifndef UPSTREAM_IMPL_H
#define UPSTREAM_IMPL_H

#include "lib/http_read.h"
#include "node/upstream.h"

struct upstream {
	struct loop *loop;
	const struct dialect *dialect;
	GQueue idle; /* of struct upstream_conn, most recently used first */
	GQueue busy;
	size_t buffered_bytes;
	struct held *held; /* may be NULL */
	u64 held_bytes; /* as counted there */
};

struct upstream_conn {
	struct upstream *u;
	struct loop_fd fd;
	struct endpoint at;
	struct http_read read;
	GByteArray *out;
	u64 out_held_bytes; /* of it, as counted in the account */
	guint out_off;
	GList queue_link; /* in upstream.idle or upstream.busy */
	struct upstream_call *call; /* NULL while idle */
	u64 state_since_us; /* when it became idle or began to connect */
	u64 idle_max_us;
	u32 foreign_answers; /* answers to other requests that were skipped */
	u64 answers; /* final answers read so far */
	GPtrArray *refused_ids; /* of the requests that were refused on this connection */
	size_t buffered_bytes; /* size of the response body being read */
	bool is_connecting;
	bool has_send_failed; /* the connection was reset, which a read may show as a plain close */
	bool has_answer; /* the parser has delivered a whole answer */
};

/* upstream_conn_close - closes and frees the connection; its call, if any, goes on without it. */
void upstream_conn_close(struct upstream_conn *c);

/* upstream_finish - ends a call whose connection is closed or idle; takes REPLY. */
void upstream_finish(struct upstream_call *call, int err, struct http_msg *reply);

/* upstream_fail - closes the connection and ends its call with ERR. */
void upstream_fail(struct upstream_conn *c, int err);

/*
 * upstream_account_buffered - updates the body's share of the total. Returns ERR_TOOBIG when the
 * total exceeds its limit.
 */
int upstream_account_buffered(struct upstream_conn *c, size_t bytes);

/* upstream_append_request - appends the request to what the connection has to send. */
void upstream_append_request(struct upstream_conn *c, struct upstream_call *call);

/*
 * upstream_parse - parses the bytes, one message at a time; a LEN of 0 is the end of the stream.
 * Returns true when the call has ended.
 */
bool upstream_parse(struct upstream_conn *c, const u8 *data, size_t len);

/* upstream_fail_answer - as upstream_fail, after ERR where the answer was being read. */
void upstream_fail_answer(struct upstream_conn *c, int err);

/*
 * upstream_find_idle - takes the most recently used idle connection to AT that CALL may use, or
 * returns NULL; closes those that can't be used again.
 */
struct upstream_conn *upstream_find_idle(struct upstream *u, const struct endpoint *at,
					 const struct upstream_call *call);

/* upstream_release - keeps the connection for other calls after the answer M, or closes it. */
void upstream_release(struct upstream_conn *c, const struct http_msg *m);

#endif
