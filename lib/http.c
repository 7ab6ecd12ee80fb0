#include "lib/http.h"

#include "lib/err.h"

#include <http_parser.h>
#include <string.h>

#define ADDED_HEADERS_MAX 64
#define DECODE_HEADERS_MAX (HTTP_HEADERS_MAX + ADDED_HEADERS_MAX)

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

u32 http_count_headers(const struct http_msg *m, const char *name)
{
	u32 count = 0;

	for (guint i = 0; i < m->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(m->headers, i);

		count += !g_ascii_strcasecmp(h->name, name);
	}
	return count;
}

void http_remove_headers(struct http_msg *m, const char *name)
{
	for (guint i = m->headers->len; i > 0; i--) {
		const struct http_header *h = g_ptr_array_index(m->headers, i - 1);

		if (!g_ascii_strcasecmp(h->name, name))
			g_ptr_array_remove_index(m->headers, i - 1);
	}
}

const char *http_reason_phrase(u16 status)
{
	static const struct {
		u16 status;
		const char *text;
	} known[] = {
#define XX(num, name, string) { num, #string },
		HTTP_STATUS_MAP(XX)
#undef XX
	};

	for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
		if (known[i].status == status)
			return known[i].text;
	return "Status";
}

struct http_msg *http_response(u16 status, const char *type, const char *body)
{
	struct http_msg *m = http_new();

	m->status = status;
	http_add_header(m, "Content-Type", type);
	g_byte_array_append(m->body, (const guint8 *)body, (guint)strlen(body));
	return m;
}

struct http_msg *http_json_response(u16 status, const char *json)
{
	return http_response(status, "application/json", json);
}

char *http_normalize_path(const char *target)
{
	g_autofree char *path = g_strndup(target, strcspn(target, "?#"));
	g_autofree char *decoded = g_uri_unescape_string(path, NULL);
	g_auto(GStrv) parts = g_strsplit(decoded ? decoded : path, "/", -1);
	g_autoptr(GPtrArray) kept = g_ptr_array_new();
	const char *last = "";
	g_autofree char *joined = NULL;

	for (char **p = parts; *p; p++) {
		last = *p;
		if (!strcmp(*p, "..") && kept->len)
			g_ptr_array_set_size(kept, (gint)kept->len - 1);
		else if (**p && strcmp(*p, ".") && strcmp(*p, ".."))
			g_ptr_array_add(kept, *p);
	}
	g_ptr_array_add(kept, NULL);
	joined = g_strjoinv("/", (char **)kept->pdata);
	if (!*joined || (*last && strcmp(last, ".") && strcmp(last, "..")))
		return g_strconcat("/", joined, NULL);
	return g_strconcat("/", joined, "/", NULL);
}

bool http_is_final_status(u64 status)
{
	return status >= HTTP_STATUS_FINAL_FIRST && status <= HTTP_STATUS_LAST;
}

bool http_is_word(const char *text)
{
	for (const char *p = text; *p; p++)
		if ((u8)*p <= ' ' || *p == 0x7f)
			return false;
	return *text;
}

bool http_is_hop_by_hop_header(const char *name)
{
	static const char *const hop[] = { "connection",       "keep-alive",	    "te",
					   "trailer",	       "transfer-encoding", "upgrade",
					   "proxy-connection", "content-length",    "expect" };

	for (size_t i = 0; i < G_N_ELEMENTS(hop); i++)
		if (!g_ascii_strcasecmp(hop[i], name))
			return true;
	return false;
}

void http_encode(struct frame_out *f, const struct http_msg *m)
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

struct http_msg *http_decode(struct frame_in *in)
{
	struct http_msg *m = http_new();
	u64 status;
	u32 n;

	status = frame_get_u64(in);
	if (status > HTTP_STATUS_LAST)
		in->err = ERR_INVAL;
	m->status = (u16)status;
	m->method = frame_get_str(in, FRAME_MAX_BYTES);
	m->target = frame_get_str(in, FRAME_MAX_BYTES);
	n = frame_get_count(in, DECODE_HEADERS_MAX);
	for (u32 i = 0; i < n && !in->err; i++) {
		g_autofree char *name = frame_get_str(in, FRAME_MAX_BYTES);
		g_autofree char *value = frame_get_str(in, FRAME_MAX_BYTES);

		http_add_header(m, name, value);
	}
	if (in->err) {
		http_free(m);
		return NULL;
	}
	return m;
}
