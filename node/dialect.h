/*
 * dialect - how callers and upstreams spell what the system needs to know
 *
 * The decisions are the same in every dialect; only headers differ. The
 * project's own dialect is dialect_own, described in DESIGN.
 *
 * UNITS milliseconds, percent
 * SOURCE node/dialect.c
 */
#ifndef DIALECT_H
#define DIALECT_H

#include "lib/ctr.h"
#include "lib/http.h"
#include "lib/types.h"

/* What the upstream is told with a request. */
struct dialect_send {
	u64 left_ms;
	const char *instance; /* the incarnation that is expected; NULL when not known */
};

/* What an upstream says of its load with an answer. */
struct dialect_load {
	u32 running;
	u32 waiting;
	u32 slots;
	u32 slowness_percent; /* of its VM now, 100 is as usual; 0 when not told */
};

/* An answer that the system makes itself. */
struct dialect_refusal {
	u16 status;
	bool is_not_run;
	enum ctr reason;
	u64 retry_after_ms; /* 0: nothing to tell */
};

struct dialect {
	const char *name;
	/* A caller that closes its side waits for no answer, rather than having sent all. */
	bool is_close_final;

	/* timeout_ms - the time that the caller gives; false when it tells none that is valid. */
	bool (*timeout_ms)(const struct http_msg *request, u64 *ms);
	/* id - what the caller calls its request, or NULL. */
	const char *(*id)(const struct http_msg *request);
	/* stamp - mark a request that entered beside an upstream of SERVICE (may be NULL). */
	void (*stamp)(struct http_msg *request, const char *service);
	/* refuse - the headers and the status of a refusal. */
	void (*refuse)(struct http_msg *answer, const struct dialect_refusal *refusal);

	/* is_set_anew - a header of requests that put writes again. */
	bool (*is_set_anew)(const char *name);
	void (*put)(GString *head, const struct dialect_send *send);
	/* is_answer_to - false when the answer belongs to another request. */
	bool (*is_answer_to)(const struct http_msg *answer, const struct http_msg *request);
	/* is_not_run - the upstream says that it did not run the request and never will. */
	bool (*is_not_run)(const struct http_msg *answer);
	/* is_refused_below - a node refused a call of the upstream, after tries of its own. */
	bool (*is_refused_below)(const struct http_msg *answer);
	/* is_other_instance - another upstream has the address now. */
	bool (*is_other_instance)(const struct http_msg *answer);
	bool (*load)(const struct http_msg *answer, struct dialect_load *load);
};

extern const struct dialect dialect_own;

/* dialect_ms - a whole number of milliseconds, at most MAX; false when TEXT is no such number. */
bool dialect_ms(const char *text, u64 max, u64 *ms);

#endif
