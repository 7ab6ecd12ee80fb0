#include "test/fakes/entry_case.h"

#include <string.h>

#define HTTP_WAIT_MS 20000

void entry_case_start(struct entry_case *t)
{
	fake_node_start(&t->node);
	fake_peer_start(&t->home, true);
	fake_node_set_directory_entry(&t->node, t->home.name, t->home.self.incarnation, DIR_UP);
}

void entry_case_stop(struct entry_case *t)
{
	fake_peer_stop(&t->home);
}

static gpointer caller_main(gpointer arg)
{
	struct entry_caller *c = arg;
	g_autofree char *headers =
		g_strdup_printf("Host: sightings.example\r\nLavenderlead-Timeout-Ms: %u\r\n",
				c->timeout_ms ? c->timeout_ms : 2 * HTTP_WAIT_MS);

	c->err = httpc_call("127.0.0.1", c->node->settings.node.caller_port, c->method, "/",
			    headers, c->body, HTTP_WAIT_MS, &c->reply);
	return NULL;
}

void entry_caller_start(struct entry_case *t, struct entry_caller *c, const char *method,
			const char *body, u32 timeout_ms)
{
	memset(c, 0, sizeof(*c));
	c->node = &t->node;
	c->method = method;
	c->body = g_strdup(body);
	c->timeout_ms = timeout_ms;
	c->thread = g_thread_new("caller", caller_main, c);
}

void entry_caller_finish(struct entry_caller *c, int status, const char *outcome, const char *body)
{
	g_thread_join(c->thread);
	g_assert_cmpint(c->err, ==, 0);
	g_assert_cmpint(c->reply.status, ==, status);
	g_assert_cmpstr(c->reply.outcome, ==, outcome);
	g_assert_false(c->reply.is_truncated);
	if (body)
		g_assert_cmpstr(c->reply.body, ==, body);
	httpc_reply_clear(&c->reply);
	g_free(c->body);
}

struct call_id entry_expect_call(struct entry_case *t, const char *body)
{
	struct peer_event *e = fake_peer_expect(&t->home, PEER_CALL);
	struct call_id id = e->id;

	if (body)
		g_assert_cmpmem(e->body->data, e->body->len, body, strlen(body));
	peer_event_free(e);
	return id;
}

void entry_expect_id(struct entry_case *t, u32 type, struct call_id id)
{
	struct peer_event *e = fake_peer_expect(&t->home, type);

	g_assert_cmpuint(e->id.incarnation, ==, id.incarnation);
	g_assert_cmpuint(e->id.seq, ==, id.seq);
	peer_event_free(e);
}

void entry_expect_event(struct entry_case *t, u32 type)
{
	peer_event_free(fake_peer_expect(&t->home, type));
}

void entry_wait_counter(enum ctr c, u64 least)
{
	for (u32 i = 0; i < HTTP_WAIT_MS && ctr_get(c) < least; i++)
		g_usleep(US_PER_MS);
	g_assert_cmpuint(ctr_get(c), ==, least);
}
