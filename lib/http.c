#include "lib/http.h"

#include "lib/err.h"

#include <string.h>

static void header_free(gpointer p)
{
	struct http_header *h = p;

	g_free(h->name);
	g_free(h->value);
	g_free(h);
}

struct http_msg *http_new(void)
{
	struct http_msg *m = g_new0(struct http_msg, 1);

	m->headers = g_ptr_array_new_with_free_func(header_free);
	m->body = g_byte_array_new();
	return m;
}

void http_free(struct http_msg *m)
{
	if (!m)
		return;
	g_free(m->method);
	g_free(m->target);
	g_ptr_array_unref(m->headers);
	g_byte_array_unref(m->body);
	g_free(m);
}

void http_add_header(struct http_msg *m, const char *name, const char *value)
{
	struct http_header *h = g_new0(struct http_header, 1);

	h->name = g_strdup(name);
	h->value = g_strdup(value);
	g_ptr_array_add(m->headers, h);
}

const char *http_header(const struct http_msg *m, const char *name)
{
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		if (!g_ascii_strcasecmp(h->name, name))
			return h->value;
	}
	return NULL;
}

bool http_is_hop_header(const char *name)
{
	static const char *const hop[] = { "connection",       "keep-alive",	    "te",
					   "trailer",	       "transfer-encoding", "upgrade",
					   "proxy-connection", "content-length",    "expect" };

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(hop[i], name))
			return true;
	return false;
}

void http_put(struct frame_out *f, const struct http_msg *m)
{
	frame_put_u64(f, m->status);
	frame_put_str(f, m->method);
	frame_put_str(f, m->target);
	frame_put_u64(f, m->headers->len);
	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		frame_put_str(f, h->name);
		frame_put_str(f, h->value);
	}
}

struct http_msg *http_get(struct frame_in *in)
{
	struct http_msg *m = http_new();
	u32 n;

	m->status = (u16)frame_get_u64(in);
	m->method = frame_get_str(in, HTTP_TEXT_MAX);
	m->target = frame_get_str(in, HTTP_TEXT_MAX);
	n = frame_get_count(in, HTTP_HEADERS_MAX);
	for (u32 i = 0; i < n && !in->err; i++) {
		g_autofree char *name = frame_get_str(in, HTTP_TEXT_MAX);
		g_autofree char *value = frame_get_str(in, HTTP_TEXT_MAX);

		http_add_header(m, name, value);
	}
	if (in->err) {
		http_free(m);
		return NULL;
	}
	return m;
}
