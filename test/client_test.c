/* The command line's HTTP client, against a server that cuts its answer. */
#include "cmd/client.h"
#include "lib/err.h"
#include "test/fakes/raw_server.h"

#include <glib.h>
#include <string.h>

static const char *text; /* what the server answers */

static void serve(struct raw_server *s, int fd, u32 nth)
{
	(void)nth;
	if (raw_read_request(s, fd))
		raw_write(fd, text);
}

/* Returns the client's error; it tries a read three times. */
static int get(char **body)
{
	struct client_reply reply = { 0 };
	g_autofree char *endpoint = NULL;
	struct raw_server server;
	struct client client;
	int err;

	raw_server_start(&server, serve, NULL);
	endpoint = g_strdup_printf("127.0.0.1:%u", server.port);
	g_assert_cmpint(client_init(&client, endpoint), ==, 0);
	err = client_call(&client, "GET", "/v1/status", NULL, NULL, &reply);
	*body = g_strdup(reply.body);
	client_reply_clear(&reply);
	client_clear(&client);
	raw_server_stop(&server);
	return err;
}

static void check(const char *answer, const char *expected)
{
	g_autofree char *body = NULL;
	int err;

	text = answer;
	g_test_message("%s", answer);
	err = get(&body);
	g_assert_true((err == 0) == (expected != NULL));
	g_assert_cmpstr(body, ==, expected);
}

static void test_whole(void)
{
	check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello");
	check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	      "hello");
}

/* Guards against: a command reports success for an answer that was cut. */
static void test_cut(void)
{
	check("", NULL);
	check("HTTP/1.1 20", NULL);
	check("HTTP/1.1 200 OK\r\nConten", NULL);
	check("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", NULL);
	check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", NULL);
	check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", NULL);
	check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", NULL);
	check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", NULL);
	check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", NULL);
	check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/client/whole", test_whole);
	g_test_add_func("/client/cut", test_cut);
	return g_test_run();
}
