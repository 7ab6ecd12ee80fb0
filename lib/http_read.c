#include "lib/http_read.h"

#include "lib/err.h"

#include <string.h>

#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS 101
/* Limit on interim responses before a final response. */
#define INTERIM_MAX 16
/* A colon and a line end, which each header has besides its name and value. */
#define HEADER_END_BYTES 3
/* Of the line end behind a chunk. */
#define CHUNK_END_BYTES 2

static struct http_read *reader_of(http_parser *p)
{
	return p->data;
}

static int fail(struct http_read *r, int err)
{
	r->err = err;
	return -1;
}

static int add_head_bytes(struct http_read *r, size_t len)
{
	r->head_bytes += len;
	return r->head_bytes > r->max_head_bytes ? fail(r, ERR_TOOBIG) : 0;
}

static int on_begin(http_parser *p)
{
	struct http_read *r = reader_of(p);

	http_free(r->msg);
	r->msg = http_new();
	r->is_in_body = false;
	r->head_bytes = 0;
	g_string_truncate(r->name, 0);
	g_string_truncate(r->value, 0);
	g_string_truncate(r->target, 0);
	g_string_truncate(r->reason, 0);
	r->is_joined = false;
	return 0;
}

static int on_target(http_parser *p, const char *at, size_t len)
{
	g_string_append_len(reader_of(p)->target, at, (gssize)len);
	return add_head_bytes(reader_of(p), len);
}

static int on_reason(http_parser *p, const char *at, size_t len)
{
	g_string_append_len(reader_of(p)->reason, at, (gssize)len);
	return add_head_bytes(reader_of(p), len);
}

/* Returns whether a status line, such as "HTTP/1.1 200", stands anywhere in TEXT. */
static bool has_status_line(const char *text)
{
	const char *at = strstr(text, "HTTP/");

	for (; at; at = strstr(at + 1, "HTTP/")) {
		const char *code = at + strlen("HTTP/");

		code += strspn(code, "0123456789.");
		if (*code == ' ' && strspn(code + 1, "0123456789") == STATUS_DIGITS)
			return true;
	}
	return false;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Blanks behind a value are no part of it (RFC 9110 5.5); http_parser drops only those before. */
static void drop_blanks(GString *value)
{
	while (value->len && is_blank(value->str[value->len - 1]))
		g_string_truncate(value, value->len - 1);
}

static int end_header(struct http_read *r)
{
	if (!r->name->len)
		return 0;
	drop_blanks(r->value);
	if (r->msg->headers->len >= HTTP_HEADERS_MAX)
		return fail(r, ERR_TOOBIG);
	if (add_head_bytes(r, HEADER_END_BYTES))
		return -1;
	r->is_joined = r->is_joined || (r->is_response && has_status_line(r->value->str));
	http_add_header(r->msg, r->name->str, r->value->str);
	g_string_truncate(r->name, 0);
	g_string_truncate(r->value, 0);
	return 0;
}

/* A name after a value begins the next header. Trailers of a chunked body are dropped. */
static int on_name(http_parser *p, const char *at, size_t len)
{
	struct http_read *r = reader_of(p);

	if (r->is_in_body)
		return 0;
	if (r->value->len && end_header(r))
		return -1;
	g_string_append_len(r->name, at, (gssize)len);
	return add_head_bytes(r, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_read *r = reader_of(p);

	if (r->is_in_body)
		return 0;
	/* on_name ends a header only if it has a value; an empty value ends it here. */
	g_string_append_len(r->value, at, (gssize)len);
	if (!len && !r->value->len)
		return end_header(r);
	return add_head_bytes(r, len);
}

static bool has_length(const http_parser *p)
{
	return (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
}

static bool is_chunked_only(const char *encoding)
{
	const size_t len = strlen("chunked");

	return !g_ascii_strncasecmp(encoding, "chunked", len) &&
	       !encoding[len + strspn(encoding + len, " \t")];
}

/*
 * Returns whether the body's end is stated in a way that this parser does not understand, as by an
 * empty length or by an encoding other than chunked, or stated twice: another HTTP parser might
 * choose the other length (smuggling).
 */
static bool is_ambiguous(const struct http_read *r)
{
	u32 lengths = 0;

	for (guint i = 0; i < r->msg->headers->len; i++) {
		const struct http_header *h = g_ptr_array_index(r->msg->headers, i);
		bool is_encoding = !g_ascii_strcasecmp(h->name, "Transfer-Encoding");

		if (is_encoding && !is_chunked_only(h->value))
			return true;
		lengths += is_encoding || !g_ascii_strcasecmp(h->name, "Content-Length");
	}
	return lengths > 1 || (lengths && !has_length(&r->parser));
}

/* Returns whether the response has no body, regardless of its length (RFC 9112 6.3). */
static bool is_bodiless(const struct http_read *r)
{
	u16 status = r->msg->status;

	if (!r->is_response)
		return false;
	return r->has_no_body || status < HTTP_STATUS_FINAL_FIRST || status == 204 || status == 304;
}

/* No request asks for another protocol, so a switch to one answers none. */
static bool has_valid_status(const struct http_read *r)
{
	u16 status = r->msg->status;

	return r->head.second_word_bytes == STATUS_DIGITS && status >= HTTP_STATUS_FIRST &&
	       status <= HTTP_STATUS_LAST && status != STATUS_SWITCHING_PROTOCOLS;
}

static bool has_joined_reason(const struct http_read *r)
{
	return r->is_response && has_status_line(r->reason->str);
}

static int on_head(http_parser *p)
{
	struct http_read *r = reader_of(p);

	if (end_header(r))
		return -1;
	r->is_in_body = true;
	r->has_length = has_length(p);
	r->msg->status = (u16)p->status_code;
	r->msg->target = g_strdup(r->target->str);
	if (!r->is_response)
		r->msg->method = g_strdup(http_method_str((enum http_method)p->method));
	if (r->is_response && !has_valid_status(r))
		return fail(r, ERR_STATUS);
	if (is_ambiguous(r) || has_joined_reason(r))
		return fail(r, ERR_INVAL);
	if ((p->flags & F_CONTENTLENGTH) && p->content_length > r->max_body_bytes &&
	    !is_bodiless(r))
		return fail(r, ERR_TOOBIG);
	if (r->ops->head && r->ops->head(r))
		return fail(r, ERR_CANCELLED);
	return is_bodiless(r) ? 1 : 0;
}

/* http_parser takes any two bytes behind a chunk for its line end. AT is where they continue. */
static int check_chunk_end(struct http_read *r, const char *at)
{
	static const char line_end[] = "\r\n";

	while (r->chunk_end_bytes && at < r->part_end) {
		if (*at++ != line_end[CHUNK_END_BYTES - r->chunk_end_bytes])
			return fail(r, ERR_INVAL);
		r->chunk_end_bytes--;
	}
	return 0;
}

/* The chunk of length 0 ends the body. */
static int on_chunk(http_parser *p)
{
	reader_of(p)->chunk_bytes = p->content_length;
	return 0;
}

static int on_chunk_data(struct http_read *r, const char *at, size_t len)
{
	r->chunk_bytes -= len;
	if (r->chunk_bytes)
		return 0;
	r->chunk_end_bytes = CHUNK_END_BYTES;
	return check_chunk_end(r, at + len);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_read *r = reader_of(p);

	if (r->msg->body->len + len > r->max_body_bytes)
		return fail(r, ERR_TOOBIG);
	g_byte_array_append(r->msg->body, (const guint8 *)at, (guint)len);
	return p->flags & F_CHUNKED ? on_chunk_data(r, at, len) : 0;
}

static int on_message(http_parser *p)
{
	struct http_read *r = reader_of(p);
	struct http_msg *m = g_steal_pointer(&r->msg);

	/* The next bytes are a head again, which is checked before it is parsed. */
	http_parser_pause(p, 1);
	r->head = (struct http_head){ 0 };
	r->is_in_body = false;
	if (r->is_response && m->status < HTTP_STATUS_FINAL_FIRST) {
		http_free(m);
		return ++r->interim > INTERIM_MAX ? fail(r, ERR_TOOBIG) : 0;
	}
	r->interim = 0;
	r->is_keep_alive = http_should_keep_alive(p);
	r->is_delivered = r->is_response;
	return r->ops->message(r, m) ? fail(r, ERR_CANCELLED) : 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_status = on_reason,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_chunk_header = on_chunk,
	.on_message_complete = on_message,
};

void http_read_init(struct http_read *r, bool is_response, const struct http_read_ops *ops,
		    void *arg)
{
	memset(r, 0, sizeof(*r));
	r->ops = ops;
	r->arg = arg;
	r->is_response = is_response;
	http_parser_init(&r->parser, is_response ? HTTP_RESPONSE : HTTP_REQUEST);
	r->parser.data = r;
	r->name = g_string_new(NULL);
	r->value = g_string_new(NULL);
	r->target = g_string_new(NULL);
	r->reason = g_string_new(NULL);
}

void http_read_clear(struct http_read *r)
{
	http_free(r->msg);
	g_string_free(r->name, TRUE);
	g_string_free(r->value, TRUE);
	g_string_free(r->target, TRUE);
	g_string_free(r->reason, TRUE);
	memset(r, 0, sizeof(*r));
}

bool http_read_is_idle(const struct http_read *r)
{
	return !r->msg;
}

/* Parses the first of the LEN bytes that are within one head or one body; returns how many. */
static size_t parse_part(struct http_read *r, const char *data, size_t len)
{
	enum http_errno err;
	size_t parsed;

	if (!r->is_in_body)
		r->err = http_head_check(&r->head, data, len, &len);
	r->part_end = data + len;
	if (r->err || check_chunk_end(r, data))
		return 0;
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED)
		http_parser_pause(&r->parser, 0);
	parsed = http_parser_execute(&r->parser, &callbacks, data, len);
	err = HTTP_PARSER_ERRNO(&r->parser);
	/* The parser stops at a protocol upgrade, which is not supported. */
	if (!r->err && (r->parser.upgrade || (err != HPE_OK && err != HPE_PAUSED)))
		r->err = err == HPE_INVALID_STATUS ? ERR_STATUS : ERR_INVAL;
	return MIN(parsed, len);
}

int http_read_feed(struct http_read *r, const void *data, size_t len, size_t *unparsed)
{
	const char *at = data;

	if (r->err)
		return r->err;
	r->is_delivered = false;
	do {
		size_t parsed = parse_part(r, at, len);

		at += parsed;
		len -= parsed;
	} while (!r->err && len && !r->is_delivered);
	if (unparsed)
		*unparsed = len;
	return r->err;
}
