/*
 * api - the HTTP API for services, the set, evacuations, members and status
 *
 * The API has a thread and an event loop of its own, so that clients that send or read slowly hold
 * no thread, and long texts are parsed beside the control loop. A call is handled on the API's
 * loop; operations and renderings run on the control loop. One rendering is under way at a time, so
 * that the answers that wait for their clients are all in the server's account.
 *
 * SOURCE control/api.c, control/api_call.c, control/api_order.c, control/api_service.c,
 * control/api_set.c, control/api_evacuation.c, control/api_member.c, control/api_status.c,
 * control/api_watch.c
 */
#ifndef API_H
#define API_H

#include "control/control.h"
#include "control/op.h"
#include "kernel/httpd.h"
#include "lib/findings.h"

#include <jansson.h>

struct api_call;

/* api_render_fn - renders the body of CALL; on the control loop. Returns it, or NULL. */
typedef char *api_render_fn(struct control *c, struct api_call *call);

/* api_next_fn - goes on with CALL; on the API's loop. */
typedef void api_next_fn(struct api_call *call);

/* A resource: its path, and how requests for it and for what is below it are handled. */
struct api_resource {
	const char *path;
	size_t call_bytes; /* of its calls, which begin with a struct api_call */
	void (*serve)(struct api_call *call);
	void (*closed)(struct api_call *call); /* the client has disconnected; may be NULL */
	/* Frees what CALL holds beyond the struct; may be NULL. */
	void (*clear)(struct api_call *call);
};

extern const struct api_resource api_services;
extern const struct api_resource api_set;
extern const struct api_resource api_evacuations;
extern const struct api_resource api_watch;
extern const struct api_resource api_status;
extern const struct api_resource api_members;

/* What this process had applied at a time. */
struct api_sample {
	u64 at_us;
	struct control_applied applied;
};

#define API_SAMPLES 16

struct api {
	struct control *control;
	struct loop *loop;
	struct httpd *httpd;
	struct held held;
	GQueue renderings; /* of struct api_call, in the order in which they run */
	struct api_call *rendering; /* under way on the control loop */
	u32 calls; /* begun and not answered */
	GQueue watches; /* of struct watch, of the calls above; see api_watch.c */
	struct api_sample samples[API_SAMPLES]; /* a ring; see api_order.c */
	u32 samples_taken;
	struct loop_timer sample_timer;
	bool is_stopping;
};

/*
 * api_propose_fn - returns the operation of an order; it is not carried out if what it is about has
 * changed since SEEN.
 */
typedef struct op *api_propose_fn(struct api_call *call, const struct control_applied *seen);

/* A request that changes something, from its first proposal on; see api_order.c. */
struct api_order {
	api_propose_fn *propose;
	api_render_fn *render;
	api_next_fn *next;
	GBytes *command; /* of a change */
	u32 member; /* of a change of the group */
	enum op_kind kind;
	u32 proposals;
};

/* A request from its arrival to its answer. Functions run on the API's loop unless stated. */
struct api_call {
	const struct api_resource *resource; /* must be first */
	struct api *api;
	struct httpd_request *request;
	const char *missing; /* for api_run_read */
	char *rest; /* of the path, behind the resource; NULL without one */
	struct op *op; /* NULL before the first operation */
	char *body; /* what was rendered */
	api_render_fn *render;
	api_next_fn *next;
	GList link; /* in the API's renderings */
	struct api_order order;
};

/* api_call_end - frees CALL, whose request was answered. */
void api_call_end(struct api_call *call);

/*
 * api_run_op - executes OP; then renders, if the operation is done and RENDER is not NULL, and then
 * calls NEXT. Takes OP; an earlier operation and body of CALL are freed.
 */
void api_run_op(struct api_call *call, struct op *op, api_render_fn *render, api_next_fn *next);

/*
 * api_run_change - the same, with an operation that makes CHANGE. A change that names no version is
 * an order, as below.
 */
void api_run_change(struct api_call *call, const struct store_change *change, api_render_fn *render,
		    api_next_fn *next);

/* api_run_member_change - the same, with an operation KIND on member ID. */
void api_run_member_change(struct api_call *call, enum op_kind kind, u32 id, api_next_fn *next);

/*
 * api_orders_start, api_orders_stop - what this process has applied is sampled between them. The
 * first must be called before the loop starts.
 */
void api_orders_start(struct api *a);
void api_orders_stop(struct api *a);

/*
 * api_order_superseded - proposes the order of CALL again, whose operation was superseded, or
 * refuses it if its client does not wait for it.
 */
void api_order_superseded(struct api_call *call);

/*
 * api_read_change_headers - reads If-Match and Change-Id into CHANGE; a random id if there is none
 */
void api_read_change_headers(const struct api_call *call, struct store_change *change,
			     struct findings *found);

/* api_render - renders, and then calls NEXT. */
void api_render(struct api_call *call, api_render_fn *render, api_next_fn *next);

/*
 * api_run_read - executes a read and answers with what RENDER returns, or with 404 and MISSING if
 * that is NULL
 */
void api_run_read(struct api_call *call, api_render_fn *render, const char *missing);

/*
 * api_add_outcome - adds the headers Lavenderlead-Outcome and Lavenderlead-Reason to M, each unless
 * its value is NULL.
 */
void api_add_outcome(struct http_msg *m, const char *outcome, const char *reason);

/* api_answer - answers CALL and frees it. OUTCOME and REASON may be NULL. */
void api_answer(struct api_call *call, u16 status, const char *type, const char *outcome,
		const char *reason, const char *body);

/* api_answer_error - the same, with a JSON object that contains TEXT as body. */
void api_answer_error(struct api_call *call, u16 status, const char *outcome, const char *reason,
		      const char *text);

/* api_answer_method - answers that the resource takes other methods, which TEXT names. */
void api_answer_method(struct api_call *call, const char *text);

/* api_answer_result - answers with STATUS and the body if the operation is done, else its error. */
void api_answer_result(struct api_call *call, u16 status);

/* api_answer_findings - answers with 400 and the findings. */
void api_answer_findings(struct api_call *call, const struct findings *found);

/* api_is - returns whether the method of the request is METHOD. */
bool api_is(const struct api_call *call, const char *method);

/* api_header - returns the value of the request's header NAME, or NULL. */
const char *api_header(const struct api_call *call, const char *name);

/* api_parse_version - parses a version number, optionally quoted as an entity tag. */
bool api_parse_version(const char *text, u64 *out);

/* api_random_change_id - returns a Change-Id for an order without one; from g_malloc. */
char *api_random_change_id(void);

/* api_dump - returns OBJ as one line, from g_malloc; drops the reference to OBJ. */
char *api_dump(json_t *obj);

/* api_add_in_force - sets "status" of OBJ to the rollout state; on the control loop. */
void api_add_in_force(struct control *c, json_t *obj);

/* api_evacuations_json - returns the list of evacuated zones; on the control loop. */
json_t *api_evacuations_json(const struct control *c);

/* api_watch_end_all - ends all watches with a complete answer. */
void api_watch_end_all(struct api *a);

#endif
