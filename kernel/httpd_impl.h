/*
 * httpd_impl - the parts of an HTTP server: connections, their requests, and what is read
 *
 * UNITS microseconds, bytes
 * SOURCE kernel/httpd.c, kernel/httpd_conn.c, kernel/httpd_request.c, kernel/httpd_read.c,
 * kernel/httpd_stream.c, kernel/httpd_caller.c
 */
#ifndef HTTPD_IMPL_H
#define HTTPD_IMPL_H

#include "kernel/acceptor.h"
#include "kernel/httpd.h"
#include "lib/http_read.h"

/* The address of callers, while it has connections. */
struct httpd_address {
	u32 ip; /* in network order */
	u32 connections;
	u64 answer_bytes; /* that its connections hold */
};

struct httpd {
	struct loop *loop;
	struct acceptor acceptor;
	const struct httpd_ops *ops;
	void *arg;
	struct httpd_limits limits;
	struct loop_timer timeout_timer;
	GQueue conns; /* of struct httpd_conn */
	GHashTable *addresses; /* ip -> struct httpd_address */
	struct held *held; /* may be NULL */
	u64 answer_bytes; /* that the connections hold */
	u32 requests;
	u64 request_bytes; /* of the requests on open connections that are in memory */
	u64 keep_alive_until_us; /* answers from then on close their connections */
	bool is_stopping; /* nothing is read behind an unanswered request */
	u16 incomplete_status; /* of httpd_refuse_incomplete */
	enum ctr incomplete_reason;
};

struct httpd_conn {
	struct httpd *h;
	struct loop_fd fd;
	struct http_read read;
	GQueue requests; /* of struct httpd_request, in order of arrival */
	GByteArray *out;
	guint out_off;
	GList link;
	u64 request_bytes; /* of its requests, as counted in the server's */
	u64 since_us; /* start of the idle time, of the request being read, or of lingering */
	struct httpd_address *address;
	u64 answer_bytes; /* of its answers, sent in part or not, as counted in the server's */
	u64 held_bytes; /* as counted in the account */
	u64 sent_bytes; /* since it was accepted */
	u64 out_since_us; /* when out was last empty */
	u64 out_from_bytes; /* bytes sent by then */
	u64 taken_bytes; /* that the caller had acknowledged at taken_us, and none since */
	u64 taken_us;
	u32 events;
	bool is_held_back; /* a request was not started, as there is much to send */
	bool is_eof;
	bool must_close; /* after the data in out is sent */
	bool is_lingering;
	bool is_busy; /* callbacks are running; a closed connection is freed afterwards */
	bool is_dead;
};

/* httpd_conn: life and output of a connection */

void httpd_request_free(struct httpd_request *r);

/* httpd_conn_close - closes C at once; it is freed after the callbacks that run have returned. */
void httpd_conn_close(struct httpd_conn *c);

/*
 * httpd_conn_begin, httpd_conn_end - callbacks run between these two, so that a connection closed
 * in one stays valid. The result of the first is an argument of the second.
 */
bool httpd_conn_begin(struct httpd_conn *c);
void httpd_conn_end(struct httpd_conn *c, bool was_busy);

/* httpd_conn_drop_unstarted - frees the requests that wait for earlier ones of the connection. */
void httpd_conn_drop_unstarted(struct httpd_conn *c);

/* httpd_conn_count_requests - counts the requests that the connection holds now. */
void httpd_conn_count_requests(struct httpd_conn *c);

/* httpd_conn_unsent_bytes - returns the bytes of answers that were not written to the socket. */
size_t httpd_conn_unsent_bytes(const struct httpd_conn *c);

/* httpd_conn_has_much_to_send - returns whether requests must wait until the caller has read. */
bool httpd_conn_has_much_to_send(const struct httpd_conn *c);

bool httpd_conn_wants_read(const struct httpd_conn *c);
void httpd_conn_update_events(struct httpd_conn *c);

/* httpd_conn_is_idle - returns whether no request is unanswered and no byte unsent. */
bool httpd_conn_is_idle(const struct httpd_conn *c);

/* httpd_conn_flush - sends what the socket takes; closes or lingers after the last answer. */
void httpd_conn_flush(struct httpd_conn *c);

void httpd_conn_append(struct httpd_conn *c, const char *text);
void httpd_conn_append_bytes(struct httpd_conn *c, const void *data, size_t len);
void httpd_conn_write_answer(struct httpd_conn *c, const struct http_msg *request,
			     const struct http_msg *m);

/* httpd_conn_write_head - writes the status and headers of M; the caller ends the head. */
void httpd_conn_write_head(struct httpd_conn *c, const struct http_msg *m);

/* httpd_request: requests in order of arrival */

/*
 * httpd_conn_pop_request - takes the first request, whose answer is written next or is complete;
 * the connection is marked to close after it if it has to.
 */
void httpd_conn_pop_request(struct httpd_conn *c, struct httpd_request *r);

/* httpd_conn_advance - writes the answers that are ready, and starts requests that may start. */
void httpd_conn_advance(struct httpd_conn *c);

extern const struct http_read_ops httpd_read_ops;

/* httpd_read: what arrives, and what is late */

/* httpd_conn_send_error - sends an error response of the server itself, and closes after it. */
void httpd_conn_send_error(struct httpd_conn *c, u16 status, enum ctr reason);

void httpd_conn_read(struct httpd_conn *c);

/* httpd_conn_on_ready - handles events of the socket of the connection ARG. */
void httpd_conn_on_ready(void *arg, u32 events);

void httpd_conn_check_timeout(struct httpd_conn *c, u64 now_us);

/* httpd_caller: bounds on what callers make the server hold */

/*
 * httpd_caller_admit - counts C for the address IP; false if that, or the server, has too many
 * connections.
 */
bool httpd_caller_admit(struct httpd_conn *c, u32 ip);
void httpd_caller_leave(struct httpd_conn *c);

/*
 * httpd_caller_close_waiting - closes the connection that waits longest for a request, or else the
 * one that waits longest for the rest of one; of ADDRESS unless that is NULL. False if there is
 * none.
 */
bool httpd_caller_close_waiting(struct httpd *h, const struct httpd_address *address);

/*
 * httpd_caller_find_slowest_sender - returns the connection that has sent its requests slowest, of
 * those with long ones that are incomplete or have not started; NULL if there is none.
 */
struct httpd_conn *httpd_caller_find_slowest_sender(const struct httpd *h);

/* httpd_caller_log_refusal - logs that requests of C are refused for REASON. */
void httpd_caller_log_refusal(const struct httpd_conn *c, enum ctr reason);

/* httpd_caller_count - counts the answers that the connection holds now. */
void httpd_caller_count(struct httpd_conn *c);

/*
 * httpd_caller_make_room - closes the connections that are read slowest while more is held for
 * ADDRESS, or for all callers, than the limits allow. ADDRESS may be NULL.
 */
void httpd_caller_make_room(struct httpd *h, const struct httpd_address *address);

/* httpd_caller_check_stall - closes C if its caller has taken nothing for too long. */
void httpd_caller_check_stall(struct httpd_conn *c, u64 now_us);

#endif
