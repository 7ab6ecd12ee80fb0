/*
 * peer - messages between nodes
 *
 * A call is identified by entry node, the entry node's incarnation and a sequence number.
 * CALL and REPLY are followed by BODY frames with body_len bytes in total. Times are on
 * the sender's clock.
 *
 * SOURCE wire/peer.c
 */
#ifndef PEER_H
#define PEER_H

#include "kernel/link.h"
#include "lib/http.h"
#include "lib/types.h"

/* Longest part of a body in one BODY frame. */
#define PEER_BODY_FRAME_BYTES (64 * 1024)
#define PEER_NAME_MAX_BYTES 128

enum peer_type {
	PEER_CALL = LINK_TYPE_FIRST,
	PEER_BODY,
	PEER_REPLY,
	PEER_REFUSE,
	PEER_CANCEL,
	PEER_FENCE,
	PEER_FENCED,
	PEER_PROBE,
	PEER_LOAD,
	PEER_GOAWAY,
	PEER_CALLER_LEFT, /* cancel the call unless it is running and not idempotent */
};

struct call_id {
	u64 incarnation;
	u64 seq;
	u64 origin; /* hash of the entry node's name; nodes started together may share an
		       incarnation */
};

/* Size of a call id as text, with its end: three numbers of up to 16 digits. */
#define PEER_ID_TEXT_BYTES 52

/*
 * peer_id_to_text - writes ID as text: incarnation, sequence and origin, as hexadecimal numbers
 * with a hyphen between them.
 */
void peer_id_to_text(struct call_id id, char text[PEER_ID_TEXT_BYTES]);

/* peer_is_id_text - returns whether TEXT has the form of a call id. */
bool peer_is_id_text(const char *text);

/* Ranks per load report; if there are more, those of the lowest worth are left out. */
#define PEER_WAITS_MAX 8

/* Expected queueing and service time for the rank of this worth. */
struct peer_wait {
	u32 worth;
	u64 wait_us; /* expected queueing time of a new call */
	u64 work_us; /* time of a call at the VM's usual speed; 0 without recent samples */
};

/* call_id_hash, call_id_equal - functions for hash tables with call ids as keys */
guint call_id_hash(gconstpointer id);
gboolean call_id_equal(gconstpointer a, gconstpointer b);

/* The load of a home node, reported with every reply and refusal. */
struct peer_load {
	u32 running;
	u32 queued;
	u32 limit; /* current concurrency limit */
	u32 knee; /* concurrency limit derived from the upstream's latencies; 0 for none */
	u32 lowest_worth; /* calls of a lower worth are refused now */
	u64 service_us; /* typical service time at the upstream */
	u32 slowness_percent; /* of the upstream's VM; 100 at usual speed, 0 if not reported */
	bool is_draining;
	u32 nwaits;
	struct peer_wait waits[PEER_WAITS_MAX];
};

struct peer_call {
	struct call_id id;
	char *service;
	char *rank;
	u64 deadline_us;
	u64 revision; /* configuration revision of the entry node */
	/* Set by the entry node, since the home node's configuration may differ. */
	u32 worth;
	u64 target_us; /* 0 to use the target of the rank */
	bool is_idempotent;
	bool has_alternative; /* another upstream could run the call in time */
	u64 organisation; /* hash of the name of the one whose key the call has; 0 for none */
	u64 route; /* hash of the route's key; 0 for none */
	u32 refused_before; /* calls of the organisation that the entry node refused meanwhile */
	u64 body_len;
	struct http_msg *msg;
};

struct peer_reply {
	struct call_id id;
	struct peer_load load;
	u64 body_len;
	struct http_msg *msg;
};

struct peer_refuse {
	struct call_id id;
	struct peer_load load;
	bool is_not_run;
	char *reason; /* name of a counter */
};

enum fence_state {
	FENCE_NOT_RUN = 1, /* has not run and will not run */
	FENCE_RUNNING, /* the reply will follow */
	FENCE_DONE, /* the reply follows immediately */
	FENCE_UNKNOWN, /* the home node has no record of the call */
};

struct peer_body {
	struct call_id id;
	const void *data;
	size_t len;
};

void peer_call_put(struct frame_out *f, const struct peer_call *c);
int peer_call_get(struct frame_in *in, struct peer_call *c);
void peer_call_clear(struct peer_call *c);

void peer_reply_put(struct frame_out *f, const struct peer_reply *r);
int peer_reply_get(struct frame_in *in, struct peer_reply *r);

void peer_refuse_put(struct frame_out *f, const struct peer_refuse *r);
int peer_refuse_get(struct frame_in *in, struct peer_refuse *r);

int peer_body_get(struct frame_in *in, struct peer_body *b);

void peer_id_put(struct frame_out *f, struct call_id id);
struct call_id peer_id_get(struct frame_in *in);

void peer_load_put(struct frame_out *f, const struct peer_load *l);
void peer_load_get(struct frame_in *in, struct peer_load *l);

/* peer_send_body - send BODY as BODY frames; return 0 or the error of link_send */
int peer_send_body(struct link *k, struct call_id id, const GByteArray *body);

#endif
