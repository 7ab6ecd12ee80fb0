#include "cmd/client.h"

#include "cmd/cmd.h"
#include "lib/err.h"

#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_MS 10000
#define READ_BYTES 16384
#define ROUNDS 3
#define ROUND_PAUSE_US 500000

int client_open(struct client *c, const char *text)
{
	g_auto(GStrv) parts = NULL;

	if (!text)
		text = getenv("LAVENDERLEAD_CONTROL");
	if (!text) {
		fprintf(stderr, "give --control HOST:PORT,... or set LAVENDERLEAD_CONTROL\n");
		return ERR_INVAL;
	}
	mg_init_library(0);
	c->at = 0;
	c->control = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	parts = g_strsplit(text, ",", -1);
	for (char **p = parts; *p; p++) {
		struct endpoint e = { 0 };

		if (endpoint_parse(&e, g_strstrip(*p))) {
			fprintf(stderr, "not an ADDRESS:PORT: \"%s\"\n", *p);
			g_array_unref(c->control);
			return ERR_INVAL;
		}
		g_array_append_val(c->control, e);
	}
	return 0;
}

void client_close(struct client *c)
{
	g_array_unref(c->control);
}

void client_reply_clear(struct client_reply *r)
{
	g_free(r->body);
	memset(r, 0, sizeof(*r));
}

static char *read_all(struct mg_connection *conn)
{
	GString *out = g_string_new(NULL);
	char part[READ_BYTES];
	int n;

	while ((n = mg_read(conn, part, sizeof(part))) > 0)
		g_string_append_len(out, part, n);
	return g_string_free(out, FALSE);
}

static bool says_unknown(const struct mg_response_info *ri)
{
	for (int i = 0; i < ri->num_headers; i++)
		if (!g_ascii_strcasecmp(ri->http_headers[i].name, "Lavenderlead-Outcome"))
			return !strcmp(ri->http_headers[i].value, "unknown");
	return false;
}

static struct mg_connection *connect_to(struct client *c)
{
	const struct endpoint *e = &g_array_index(c->control, struct endpoint, c->at);
	char why[256];

	return mg_connect_client(e->host, e->port, 0, why, sizeof(why));
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

static int call_one(struct client *c, const char *method, const char *path, const char *headers,
		    const char *body, struct client_reply *reply)
{
	struct mg_connection *conn = connect_to(c);
	const struct mg_response_info *ri;
	char why[256];
	int err = 0;

	if (!conn)
		return ERR_REFUSED;
	send_request(conn, method, path, headers, body);
	if (mg_get_response(conn, why, sizeof(why), ANSWER_TIMEOUT_MS) > 0) {
		ri = mg_get_response_info(conn);
		client_reply_clear(reply);
		reply->status = ri->status_code;
		reply->is_unknown = says_unknown(ri);
		reply->body = read_all(conn);
	} else {
		err = ERR_TIMEOUT;
	}
	mg_close_connection(conn);
	return err;
}

int client_call(struct client *c, const char *method, const char *path, const char *headers,
		const char *body, struct client_reply *reply)
{
	int result = ERR_REFUSED;
	bool was_lost = false;

	for (guint i = 0; i < ROUNDS * c->control->len; i++) {
		int err = call_one(c, method, path, headers, body, reply);

		if (!err && reply->status != 503)
			return 0;
		if (!err)
			result = 0;
		was_lost |= err == ERR_TIMEOUT || (!err && reply->is_unknown);
		c->at = (c->at + 1) % c->control->len;
		if (c->at == 0)
			g_usleep(ROUND_PAUSE_US);
	}
	if (!result)
		reply->is_unknown |= was_lost;
	else if (was_lost)
		result = ERR_TIMEOUT;
	return result;
}

int client_stream(struct client *c, const char *path)
{
	for (guint i = 0; i < c->control->len; i++) {
		struct mg_connection *conn = connect_to(c);
		char part[READ_BYTES];
		int n;

		c->at = (c->at + 1) % c->control->len;
		if (!conn)
			continue;
		send_request(conn, "GET", path, NULL, NULL);
		if (mg_get_response(conn, part, sizeof(part), ANSWER_TIMEOUT_MS) <= 0) {
			mg_close_connection(conn);
			continue;
		}
		while ((n = mg_read(conn, part, sizeof(part))) > 0) {
			fwrite(part, 1, (size_t)n, stdout);
			fflush(stdout);
		}
		mg_close_connection(conn);
		return 0;
	}
	return ERR_REFUSED;
}

int client_explain(int err, const struct client_reply *reply)
{
	if (err == ERR_REFUSED) {
		fprintf(stderr, "no control process could be reached; check --control\n");
		return CMD_REFUSED;
	}
	if (err || reply->is_unknown) {
		fprintf(stderr, "the outcome is not known; run the command again\n");
		return CMD_UNKNOWN;
	}
	fprintf(stderr, "refused with status %d: %s", reply->status, reply->body);
	if (!g_str_has_suffix(reply->body, "\n"))
		fprintf(stderr, "\n");
	return CMD_REFUSED;
}
