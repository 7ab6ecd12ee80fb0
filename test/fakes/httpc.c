#include "test/fakes/httpc.h"

#include "lib/err.h"

#include <civetweb.h>
#include <glib.h>
#include <string.h>

#define READ_BYTES 16384

static char *header(const struct mg_response_info *ri, const char *name)
{
	for (int i = 0; i < ri->num_headers; i++)
		if (!g_ascii_strcasecmp(ri->http_headers[i].name, name))
			return g_strdup(ri->http_headers[i].value);
	return NULL;
}

static void read_reply(struct mg_connection *conn, struct httpc_reply *reply)
{
	const struct mg_response_info *ri = mg_get_response_info(conn);
	GString *out = g_string_new(NULL);
	char buf[READ_BYTES];
	int n;

	reply->status = ri->status_code;
	reply->outcome = header(ri, "Lavenderlead-Outcome");
	reply->reason = header(ri, "Lavenderlead-Reason");
	while ((n = mg_read(conn, buf, sizeof(buf))) > 0)
		g_string_append_len(out, buf, n);
	reply->is_truncated =
		n < 0 || (ri->content_length > 0 && (long long)out->len < ri->content_length);
	reply->body = g_string_free(out, FALSE);
}

int httpc_call(const char *address, u16 port, const char *method, const char *path,
	       const char *headers, const char *body, u32 timeout_ms, struct httpc_reply *reply)
{
	char error[256];
	struct mg_connection *conn = mg_connect_client(address, port, 0, error, sizeof(error));
	int err = 0;

	memset(reply, 0, sizeof(*reply));
	if (!conn)
		return ERR_REFUSED;
	mg_printf(conn, "%s %s HTTP/1.1\r\nConnection: close\r\n%sContent-Length: %zu\r\n\r\n",
		  method, path, headers ? headers : "", body ? strlen(body) : 0);
	if (body)
		mg_write(conn, body, strlen(body));
	if (mg_get_response(conn, error, sizeof(error), (int)timeout_ms) > 0)
		read_reply(conn, reply);
	else
		err = ERR_TIMEOUT;
	mg_close_connection(conn);
	return err;
}

void httpc_reply_clear(struct httpc_reply *r)
{
	g_free(r->outcome);
	g_free(r->reason);
	g_free(r->body);
	memset(r, 0, sizeof(*r));
}
