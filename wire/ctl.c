#include "wire/ctl.h"

#include "lib/log.h"

#include <zlib.h>

/* Compressing a shorter frame gains too little. */
#define COMPRESS_MIN_BYTES 1024

static GByteArray *deflate_bytes(const void *bytes, size_t len)
{
	uLongf out_len = compressBound(len);
	GByteArray *out = g_byte_array_new();
	int err;

	g_byte_array_set_size(out, (guint)out_len);
	err = compress2(out->data, &out_len, bytes, len, Z_BEST_SPEED);
	if (!err) {
		g_byte_array_set_size(out, (guint)out_len);
		return out;
	}
	log_event(LOG_ERROR, "cannot compress a frame, sending it as it is", "zlib_error",
		  log_u64((u64)-err), NULL);
	g_byte_array_unref(out);
	return NULL;
}

struct frame_out *ctl_frame_new(enum ctl_type type)
{
	struct frame_out *f = g_new0(struct frame_out, 1);

	frame_begin(f, type);
	return f;
}

void ctl_frame_free(gpointer frame)
{
	frame_free(frame);
	g_free(frame);
}

struct frame_out *ctl_compress(struct frame_out *frame)
{
	size_t len = frame_end(frame) - FRAME_HEADER_BYTES;
	g_autoptr(GByteArray) bytes = NULL;
	struct frame_out *out;

	if (len < COMPRESS_MIN_BYTES)
		return frame;
	bytes = deflate_bytes(frame->buf.data + FRAME_HEADER_BYTES, len);
	if (!bytes || bytes->len >= len)
		return frame;
	out = ctl_frame_new(CTL_COMPRESSED);
	frame_put_u64(out, len);
	frame_put_bin(out, bytes->data, bytes->len);
	ctl_frame_free(frame);
	return out;
}

/* Returns LEN bytes, or NULL if BYTES are damaged or inflate to another length. */
static GByteArray *inflate_bytes(const void *bytes, size_t bytes_len, u64 len)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	uLongf out_len = len;

	if (!len || len > FRAME_MAX_BYTES)
		return NULL;
	g_byte_array_set_size(out, (guint)len);
	if (uncompress(out->data, &out_len, bytes, bytes_len) != Z_OK || out_len != len)
		return NULL;
	return g_steal_pointer(&out);
}

GByteArray *ctl_inflate(struct frame_in *in, struct frame_in *inner, u32 *type)
{
	g_autoptr(GByteArray) out = NULL;
	u64 len = frame_get_u64(in);
	size_t bytes_len;
	const void *bytes = frame_get_bin(in, &bytes_len);

	if (frame_done(in))
		return NULL;
	out = inflate_bytes(bytes, bytes_len, len);
	if (!out)
		return NULL;
	frame_in_init(inner, out->data, out->len);
	*type = (u32)frame_get_u64(inner);
	return *type == CTL_COMPRESSED ? NULL : g_steal_pointer(&out);
}
