/*
 * where - explains where a call would go now, and why, without making it
 *
 * Runs the decisions of a call on copies of what they change: the random source, the credit and
 * the ages of the route, the counts of refusals. No probe and no call is sent.
 *
 * A question names an organisation; it has no field for a key, and what it says is not repeated.
 *
 * SOURCE node/where.c (question and decision), node/where_json.c (answer)
 */
#ifndef WHERE_H
#define WHERE_H

#include "node/route.h"

#include <jansson.h>

struct where_question {
	const char *host; /* or the name of a service */
	const char *method;
	const char *path;
	const char *organisation; /* NULL for none */
	u64 timeout_ms;
};

struct where_answer {
	struct entry_call call;
	struct route_request route;
	u64 now_us;
	enum ctr reason; /* CTR_CALLS if the call would be sent */
	u16 status; /* of the refusal */
	const struct choose_target *chosen; /* NULL for none */
	GArray *candidates; /* of struct choose_candidate */
};

/* where_decide - decides as for a call that arrives now. The loop's thread only. */
void where_decide(struct node *n, const struct where_question *q, struct where_answer *a);
void where_clear(struct where_answer *a);

/* where_json - returns the answer as an object. */
json_t *where_json(const struct node *n, const struct where_answer *a);

/* where_serve - answers POST /v1/where. */
struct http_msg *where_serve(struct node *n, const struct http_msg *m);

#endif
