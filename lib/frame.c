#include "lib/frame.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

void frame_begin(struct frame_out *o, u32 type)
{
	static const char length_placeholder[FRAME_HEADER_BYTES];

	msgpack_sbuffer_init(&o->buf);
	msgpack_packer_init(&o->pk, &o->buf, msgpack_sbuffer_write);
	msgpack_sbuffer_write(&o->buf, length_placeholder, sizeof(length_placeholder));
	frame_put_u64(o, type);
}

void frame_put_u64(struct frame_out *o, u64 v)
{
	msgpack_pack_uint64(&o->pk, v);
}

void frame_put_i64(struct frame_out *o, i64 v)
{
	msgpack_pack_int64(&o->pk, v);
}

void frame_put_bool(struct frame_out *o, bool v)
{
	if (v)
		msgpack_pack_true(&o->pk);
	else
		msgpack_pack_false(&o->pk);
}

void frame_put_str(struct frame_out *o, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(&o->pk, len);
	msgpack_pack_str_body(&o->pk, s, len);
}

void frame_put_bin(struct frame_out *o, const void *p, size_t len)
{
	msgpack_pack_bin(&o->pk, len);
	msgpack_pack_bin_body(&o->pk, p, len);
}

size_t frame_end(struct frame_out *o)
{
	u32 len = htonl((u32)(o->buf.size - FRAME_HEADER_BYTES));

	memcpy(o->buf.data, &len, sizeof(len));
	return o->buf.size;
}

void frame_free(struct frame_out *o)
{
	msgpack_sbuffer_destroy(&o->buf);
}

void frame_in_init(struct frame_in *in, const void *payload, size_t len)
{
	in->data = payload;
	in->len = len;
	in->off = 0;
	in->err = 0;
}

/* Containers and extensions declare a size that the decoder would allocate immediately. */
static bool is_scalar(u8 first)
{
	bool is_container = (first >= 0x80 && first <= 0x9f) || (first >= 0xdc && first <= 0xdf);
	bool is_extension = (first >= 0xc7 && first <= 0xc9) || (first >= 0xd4 && first <= 0xd8);

	return !is_container && !is_extension;
}

static bool next_value(struct frame_in *in, msgpack_object *out)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return ret;

	if (in->err)
		return false;
	if (in->off >= in->len || !is_scalar((u8)in->data[in->off])) {
		in->err = ERR_INVAL;
		return false;
	}
	msgpack_unpacked_init(&unpacked);
	ret = msgpack_unpack_next(&unpacked, in->data, in->len, &in->off);
	*out = unpacked.data;
	msgpack_unpacked_destroy(&unpacked);
	if (ret != MSGPACK_UNPACK_SUCCESS)
		in->err = ERR_INVAL;
	return !in->err;
}

static bool next_value_of_type(struct frame_in *in, msgpack_object_type type, msgpack_object *out)
{
	if (!next_value(in, out))
		return false;
	if (out->type != type)
		in->err = ERR_INVAL;
	return !in->err;
}

u64 frame_get_u64(struct frame_in *in)
{
	msgpack_object o;

	return next_value_of_type(in, MSGPACK_OBJECT_POSITIVE_INTEGER, &o) ? o.via.u64 : 0;
}

i64 frame_get_i64(struct frame_in *in)
{
	msgpack_object o;

	if (!next_value(in, &o))
		return 0;
	if (o.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return o.via.i64;
	if (o.type == MSGPACK_OBJECT_POSITIVE_INTEGER && o.via.u64 <= INT64_MAX)
		return (i64)o.via.u64;
	in->err = ERR_INVAL;
	return 0;
}

bool frame_get_bool(struct frame_in *in)
{
	msgpack_object o;

	return next_value_of_type(in, MSGPACK_OBJECT_BOOLEAN, &o) && o.via.boolean;
}

char *frame_get_str(struct frame_in *in, size_t max_len)
{
	msgpack_object o;

	if (!next_value_of_type(in, MSGPACK_OBJECT_STR, &o))
		return g_strdup("");
	/* msgpack sets no pointer for an empty string. */
	if (!o.via.str.size)
		return g_strdup("");
	if (o.via.str.size > max_len || memchr(o.via.str.ptr, 0, o.via.str.size)) {
		in->err = ERR_INVAL;
		return g_strdup("");
	}
	return g_strndup(o.via.str.ptr, o.via.str.size);
}

const void *frame_get_bin(struct frame_in *in, size_t *len)
{
	msgpack_object o;

	*len = 0;
	if (!next_value_of_type(in, MSGPACK_OBJECT_BIN, &o))
		return NULL;
	*len = o.via.bin.size;
	return o.via.bin.ptr;
}

u32 frame_get_count(struct frame_in *in, u32 max)
{
	u64 n = frame_get_u64(in);

	if (in->err)
		return 0;
	if (n > max || n > in->len - in->off) {
		in->err = ERR_INVAL;
		return 0;
	}
	return (u32)n;
}

bool frame_has_more(const struct frame_in *in)
{
	return !in->err && in->off < in->len;
}

int frame_done(const struct frame_in *in)
{
	if (in->err || in->off != in->len)
		return ERR_INVAL;
	return 0;
}
