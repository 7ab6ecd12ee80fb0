#include "cmd/client.h"

#include "cmd/cmd.h"
#include "lib/err.h"
#include "lib/json_text.h"

#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#define RESPONSE_TIMEOUT_MS 10000
/* A watch stream carries an empty line every 5 s. */
#define READ_TIMEOUT_S 12
#define READ_CHUNK_BYTES 16384
#define CALL_ROUNDS 3
#define CALL_ROUND_DELAY_US 500000

static void on_alarm(int sig)
{
	(void)sig;
}

/* Reads of CivetWeb's client have no timeout; SIGALRM interrupts them. */
static void set_up_alarm(void)
{
	struct sigaction act = { .sa_handler = on_alarm };

	sigaction(SIGALRM, &act, NULL);
}

static int read_with_timeout(struct mg_connection *conn, void *out, size_t size)
{
	int n;

	alarm(READ_TIMEOUT_S);
	n = mg_read(conn, out, size);
	alarm(0);
	return n;
}

int client_init(struct client *c, const char *text)
{
	g_auto(GStrv) parts = NULL;

	if (!text)
		text = getenv("LAVENDERLEAD_CONTROL");
	if (!text) {
		fprintf(stderr, "use --control HOST:PORT,... or set LAVENDERLEAD_CONTROL\n");
		return ERR_INVAL;
	}
	mg_init_library(0);
	set_up_alarm();
	c->current = 0;
	c->endpoints = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	parts = g_strsplit(text, ",", -1);
	for (char **p = parts; *p; p++) {
		struct endpoint e = { 0 };

		if (!*g_strstrip(*p))
			continue;
		if (endpoint_parse(&e, *p)) {
			fprintf(stderr, "not an ADDRESS:PORT with a numeric address: \"%s\"\n", *p);
			client_clear(c);
			return ERR_INVAL;
		}
		g_array_append_val(c->endpoints, e);
	}
	if (c->endpoints->len)
		return 0;
	fprintf(stderr, "the list of control processes is empty; expected ADDRESS:PORT,...\n");
	client_clear(c);
	return ERR_INVAL;
}

void client_clear(struct client *c)
{
	g_array_unref(c->endpoints);
}

json_t *client_load(const char *text)
{
	json_error_t error;

	return text ? json_text_load_accepted(text, strlen(text), 0, &error) : NULL;
}

void client_reply_clear(struct client_reply *r)
{
	g_free(r->body);
	memset(r, 0, sizeof(*r));
}

void client_next_endpoint(struct client *c)
{
	c->current = (c->current + 1) % c->endpoints->len;
}

/* Returns the body, or NULL when the connection ended before CONTENT_LENGTH bytes. */
static char *read_all(struct mg_connection *conn, i64 content_length)
{
	GString *out = g_string_new(NULL);
	char chunk[READ_CHUNK_BYTES];
	int n;

	while ((n = read_with_timeout(conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(out, chunk, n);
	if (n < 0 || (content_length >= 0 && out->len < (u64)content_length)) {
		g_string_free(out, TRUE);
		return NULL;
	}
	return g_string_free(out, FALSE);
}

static bool is_outcome_unknown(const struct mg_response_info *ri)
{
	for (int i = 0; i < ri->num_headers; i++)
		if (!g_ascii_strcasecmp(ri->http_headers[i].name, "Lavenderlead-Outcome"))
			return !strcmp(ri->http_headers[i].value, "unknown");
	return false;
}

static struct mg_connection *connect_to(struct client *c)
{
	const struct endpoint *e = &g_array_index(c->endpoints, struct endpoint, c->current);
	char error[256];

	return mg_connect_client(e->host, e->port, 0, error, sizeof(error));
}

static void send_request(struct mg_connection *conn, const char *method, const char *path,
			 const char *headers, const char *body)
{
	size_t len = body ? strlen(body) : 0;

	mg_printf(conn, "%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n%s", method, path,
		  headers ? headers : "");
	mg_printf(conn, "Content-Length: %zu\r\n\r\n", len);
	if (len)
		mg_write(conn, body, len);
}

/* Returns 0, ERR_REFUSED when nothing was sent, or ERR_TIMEOUT without a complete response. */
static int call_current(struct client *c, const char *method, const char *path, const char *headers,
			const char *body, struct client_reply *reply)
{
	struct mg_connection *conn = connect_to(c);
	const struct mg_response_info *ri;
	char error[256];
	char *response_body = NULL;

	if (!conn)
		return ERR_REFUSED;
	send_request(conn, method, path, headers, body);
	if (mg_get_response(conn, error, sizeof(error), RESPONSE_TIMEOUT_MS) > 0) {
		ri = mg_get_response_info(conn);
		response_body = read_all(conn, ri->content_length);
		if (response_body) {
			client_reply_clear(reply);
			reply->status = ri->status_code;
			reply->is_unknown = is_outcome_unknown(ri);
			reply->body = response_body;
		}
	}
	mg_close_connection(conn);
	return response_body ? 0 : ERR_TIMEOUT;
}

int client_call(struct client *c, const char *method, const char *path, const char *headers,
		const char *body, struct client_reply *reply)
{
	bool is_read_only = !strcmp(method, "GET");
	int result = ERR_REFUSED;
	bool was_lost = false;

	for (guint i = 0; i < CALL_ROUNDS * c->endpoints->len; i++) {
		int err = call_current(c, method, path, headers, body, reply);

		if (!err && reply->status != 503)
			return 0;
		if (!err)
			result = 0;
		was_lost |= err == ERR_TIMEOUT || (!err && reply->is_unknown);
		client_next_endpoint(c);
		if (c->current == 0)
			g_usleep(CALL_ROUND_DELAY_US);
	}
	/* A read changes nothing, so a lost answer leaves no unknown outcome. */
	if (is_read_only)
		return result;
	if (!result)
		reply->is_unknown |= was_lost;
	else if (was_lost)
		result = ERR_TIMEOUT;
	return result;
}

char *client_change_headers(const char *prefix, u64 version)
{
	u64 id[2] = { 0 };

	if (getrandom(id, sizeof(id), 0) != sizeof(id))
		return NULL;
	if (version == CLIENT_ANY_VERSION)
		return g_strdup_printf("Change-Id: %s-%016llx%016llx\r\n", prefix,
				       (unsigned long long)id[0], (unsigned long long)id[1]);
	return g_strdup_printf("If-Match: %llu\r\nChange-Id: %s-%016llx%016llx\r\n",
			       (unsigned long long)version, prefix, (unsigned long long)id[0],
			       (unsigned long long)id[1]);
}

/*
 * Calls ON_LINE for each line until the stream ends or stalls. Returns the number of lines
 * received.
 */
static u64 read_lines(struct mg_connection *conn, void (*on_line)(void *arg, const char *text),
		      void *arg)
{
	g_autoptr(GString) text = g_string_new(NULL);
	u64 lines = 0;
	char c;

	while (read_with_timeout(conn, &c, 1) == 1) {
		if (c != '\n') {
			g_string_append_c(text, c);
			continue;
		}
		if (text->len)
			on_line(arg, text->str);
		lines += text->len > 0;
		g_string_truncate(text, 0);
	}
	return lines;
}

int client_stream(struct client *c, const char *path, void (*on_line)(void *arg, const char *text),
		  void *arg)
{
	struct mg_connection *conn = connect_to(c);
	char error[256];
	int err = ERR_CLOSED;

	if (!conn)
		return ERR_REFUSED;
	send_request(conn, "GET", path, NULL, NULL);
	if (mg_get_response(conn, error, sizeof(error), RESPONSE_TIMEOUT_MS) > 0 &&
	    mg_get_response_info(conn)->status_code == 200 && read_lines(conn, on_line, arg))
		err = 0;
	mg_close_connection(conn);
	return err;
}

int client_print_error(int err, const struct client_reply *reply)
{
	if (err == ERR_REFUSED) {
		fprintf(stderr, "no control process answered; check --control and the processes\n");
		return CMD_REFUSED;
	}
	if (err || reply->is_unknown) {
		fprintf(stderr, "the outcome is not known; run the command again\n");
		return CMD_UNKNOWN;
	}
	fprintf(stderr, "refused with status %d: %s", reply->status, reply->body);
	if (!g_str_has_suffix(reply->body, "\n"))
		fprintf(stderr, "\n");
	if (reply->status == 503)
		fprintf(stderr,
			"a majority of the control processes must run and reach each other; "
			"see lavenderlead status\n");
	return CMD_REFUSED;
}
