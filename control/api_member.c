/* /v1/members: changes of the group by operators. */
#include "control/api.h"

#include <stdlib.h>
#include <string.h>

static void answer_change(struct api_call *call)
{
	const struct op *o = call->op;

	if (o->outcome == OP_DONE)
		api_answer_error(call, o->result.status, NULL, NULL, o->text);
	else
		api_answer_result(call, 0);
}

static void serve(struct api_call *call)
{
	const char *rest = call->rest ? call->rest : "";
	char *end = NULL;
	u32 id = (u32)strtoul(rest, &end, 10);

	if (end == rest)
		api_answer_error(call, 404, NULL, NULL, "no such member");
	else if (api_is(call, "POST") && !strcmp(end, "/replace"))
		api_run_member_change(call, OP_REPLACE, id, answer_change);
	else if (api_is(call, "DELETE") && !*end)
		api_run_member_change(call, OP_REMOVE, id, answer_change);
	else
		api_answer_method(call, "use POST .../replace or DELETE");
}

const struct api_resource api_members = {
	.path = "/v1/members",
	.call_bytes = sizeof(struct api_call),
	.serve = serve,
};
