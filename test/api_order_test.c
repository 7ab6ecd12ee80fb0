/* Orders at the API of a control process, by clients that wait in different ways. */
#include "control/op.h"
#include "lib/json_text.h"
#include "test/fakes/httpc.h"
#include "test/fakes/lone_control.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 20000
#define ZONE "z"
#define ZONE_PATH "/v1/evacuations/" ZONE
#define SERVICE_PATH "/v1/services/s"
#define DECLARATION                                                                                \
	"{\"name\":\"s\",\"ranks\":[{\"name\":\"r\",\"match\":[{\"path\":\"/"                      \
	"\"}],\"target_ms\":100,"                                                                  \
	"\"worth\":1,\"floor_percent\":0}]}"

static struct lone_control p;
static u16 port;

static int call(const char *method, const char *path, const char *headers, const char *body,
		u64 *version)
{
	struct httpc_reply r = { 0 };
	json_error_t error;
	json_t *obj;
	int status;

	g_assert_cmpint(httpc_call("127.0.0.1", port, method, path, headers, body, WAIT_MS, &r), ==,
			0);
	status = r.status;
	obj = json_text_load(r.body, strlen(r.body), 0, &error);
	if (version)
		*version = (u64)json_integer_value(json_object_get(obj, "version"));
	json_decref(obj);
	httpc_reply_clear(&r);
	return status;
}

static void start(void)
{
	p = (struct lone_control){ 0 };
	lone_control_start(&p, ZONE);
	port = p.settings.control.api_port;
	for (u32 i = 0; i < 20 && call("GET", "/v1/evacuations", NULL, NULL, NULL) != 200; i++)
		;
}

static char *put_text(void)
{
	return g_strdup_printf("PUT " SERVICE_PATH
			       " HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n%s",
			       strlen(DECLARATION), DECLARATION);
}
#define DELETE_TEXT "DELETE " SERVICE_PATH " HTTP/1.1\r\nHost: h\r\n\r\n"

/* Sends TEXT, closes this side if IS_HALF_CLOSED, and returns the statuses of COUNT responses. */
static char *exchange(const char *text, bool is_half_closed, u32 count)
{
	g_autoptr(GString) got = g_string_new(NULL);
	GString *statuses = g_string_new(NULL);
	int fd = raw_connect(port);
	char buf[4096];
	ssize_t n;

	raw_write(fd, text);
	if (is_half_closed)
		shutdown(fd, SHUT_WR);
	for (u32 found = 0; found < count && (n = recv(fd, buf, sizeof(buf), 0)) > 0;) {
		g_string_append_len(got, buf, n);
		found = 0;
		for (const char *q = got->str; (q = strstr(q, "HTTP/1.1 ")); q++)
			found++;
	}
	for (const char *q = got->str; (q = strstr(q, "HTTP/1.1 ")); q++)
		g_string_append_printf(statuses, "%.3s ", q + strlen("HTTP/1.1 "));
	close(fd);
	return g_string_free(statuses, FALSE);
}

/*
 * Guards against: a client that closes its side behind its order, for what was changed just before,
 * is taken for one that has left.
 */
static void test_half_closed_client(void)
{
	g_autofree char *put = NULL;

	start();
	put = put_text();
	for (u32 i = 0; i < 20; i++) {
		g_autofree char *added = exchange(put, true, 1);
		g_autofree char *deleted = exchange(DELETE_TEXT, true, 1);

		g_assert_cmpstr(added, ==, "201 ");
		g_assert_cmpstr(deleted, ==, "200 ");
	}
	lone_control_stop(&p);
}

/* Guards against: an order behind another one on its connection is superseded by that one. */
static void test_orders_behind_one_another(void)
{
	g_autofree char *put = put_text();
	g_autofree char *text = g_strconcat(put, DELETE_TEXT, put, put, DELETE_TEXT, NULL);

	for (u32 i = 0; i < 2; i++) {
		g_autofree char *statuses = NULL;

		start();
		statuses = exchange(text, i, 5);
		g_assert_cmpstr(statuses, ==, "201 200 201 200 200 ");
		lone_control_stop(&p);
	}
}

#define OPERATORS 8
#define ORDERS 20

static gpointer put_often(gpointer arg)
{
	u32 accepted = 0;

	(void)arg;
	for (u32 i = 0; i < ORDERS; i++) {
		int status = call("PUT", SERVICE_PATH, NULL, DECLARATION, NULL);

		accepted += status == 200 || status == 201;
	}
	return GUINT_TO_POINTER(accepted);
}

/* Guards against: of operators who change the same service at once, one is refused or waits long.
 */
static void test_operators_at_once(void)
{
	GThread *threads[OPERATORS];
	u64 version = 0;

	start();
	for (u32 i = 0; i < OPERATORS; i++)
		threads[i] = g_thread_new("operator", put_often, NULL);
	for (u32 i = 0; i < OPERATORS; i++)
		g_assert_cmpuint(GPOINTER_TO_UINT(g_thread_join(threads[i])), ==, ORDERS);
	g_assert_cmpint(call("GET", SERVICE_PATH, NULL, NULL, &version), ==, 200);
	g_assert_cmpuint(version, ==, OPERATORS * ORDERS);
	lone_control_stop(&p);
}

/* Guards against: evacuation orders that name a version or an id are carried out without these. */
static void test_conditional_evacuations(void)
{
	u64 first = 0;
	u64 again = 0;

	start();
	g_assert_cmpint(call("PUT", ZONE_PATH, "Change-Id: one\r\n", NULL, &first), ==, 200);
	g_assert_cmpint(call("DELETE", ZONE_PATH, "Change-Id: two\r\n", NULL, NULL), ==, 200);
	/* The first copy of the first order comes late: it is answered, and changes nothing. */
	g_assert_cmpint(call("PUT", ZONE_PATH, "Change-Id: one\r\n", NULL, &again), ==, 200);
	g_assert_cmpuint(again, ==, first);
	g_assert_cmpint(call("DELETE", ZONE_PATH, "Change-Id: one\r\n", NULL, NULL), ==, 422);
	g_assert_cmpint(call("PUT", ZONE_PATH, "If-Match: 1\r\n", NULL, &again), ==, 409);
	g_assert_cmpuint(again, ==, first + 1);
	g_assert_cmpint(call("PUT", ZONE_PATH, "If-Match: 2\r\n", NULL, NULL), ==, 200);
	g_assert_cmpint(call("PUT", ZONE_PATH, "If-Match: x\r\n", NULL, NULL), ==, 400);
	lone_control_stop(&p);
}

struct member_change {
	struct op *op;
	bool is_superseded;
	u16 status;
	gint is_done;
};

static void on_done(struct control *c, struct op *o)
{
	struct member_change *m = o->arg;

	(void)c;
	m->is_superseded = o->result.is_superseded;
	m->status = o->result.status;
	op_free(o);
	g_atomic_int_set(&m->is_done, 1);
}

static void submit(void *arg)
{
	op_submit(p.control, ((struct member_change *)arg)->op);
}

static struct member_change remove_member(u32 id, u64 seen_members_index)
{
	struct member_change m = { .op = op_new(OP_REMOVE) };

	m.op->member = id;
	m.op->seen_members_index = seen_members_index;
	m.op->done = on_done;
	m.op->arg = &m;
	loop_call(p.control->loop, submit, &m);
	for (u32 i = 0; i < WAIT_MS && !g_atomic_int_get(&m.is_done); i++)
		g_usleep(US_PER_MS);
	g_assert_true(m.is_done);
	return m;
}

/*
 * Guards against: a late copy of a change of the group is carried out after another one, and
 * removes a member that was added again.
 */
static void test_late_member_change(void)
{
	struct member_change m;
	u64 index;

	start();
	index = control_applied(p.control).members_index;
	g_assert_cmpuint(index, >, 0);
	m = remove_member(7, index - 1);
	g_assert_true(m.is_superseded);
	m = remove_member(7, index);
	g_assert_false(m.is_superseded);
	g_assert_cmpuint(m.status, ==, 200);
	/* A client that waits gets its answer all the same. */
	g_assert_cmpint(call("DELETE", "/v1/members/7", NULL, NULL, NULL), ==, 200);
	lone_control_stop(&p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/api-order/half-closed-client", test_half_closed_client);
	g_test_add_func("/api-order/orders-behind-one-another", test_orders_behind_one_another);
	g_test_add_func("/api-order/operators-at-once", test_operators_at_once);
	g_test_add_func("/api-order/conditional-evacuations", test_conditional_evacuations);
	g_test_add_func("/api-order/late-member-change", test_late_member_change);
	return g_test_run();
}
