#include "node/config_receive.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <string.h>

#define INFLATE_BYTES (16 * 1024)

void config_receive_init(struct config_receive *r, const struct config_receive_ops *ops, void *arg)
{
	memset(r, 0, sizeof(*r));
	r->ops = ops;
	r->arg = arg;
}

static void free_buffers(struct config_receive *r)
{
	if (r->inflated)
		inflateEnd(&r->z);
	g_clear_pointer(&r->inflated, g_byte_array_unref);
}

void config_receive_clear(struct config_receive *r)
{
	free_buffers(r);
	r->total = 0;
	r->received = 0;
	r->is_usable = false;
	r->has_ended = false;
}

static int begin(struct config_receive *r, const struct config_part *p)
{
	config_receive_clear(r);
	r->ops->begin(r->arg);
	memset(&r->z, 0, sizeof(r->z));
	if (inflateInit(&r->z) != Z_OK)
		return ERR_INVAL;
	r->inflated = g_byte_array_new();
	r->stream = p->stream;
	r->total = p->total;
	r->is_usable = true;
	return 0;
}

static int handle_frame(struct config_receive *r, const u8 *payload, size_t len)
{
	struct frame_in in;
	u32 type;

	frame_in_init(&in, payload, len);
	type = (u32)frame_get_u64(&in);
	return in.err ? ERR_INVAL : r->ops->frame(r->arg, type, &in);
}

/* Handles the complete frames and keeps the rest. */
static int handle_frames(struct config_receive *r)
{
	const GByteArray *b = r->inflated;
	guint off = 0;
	int err = 0;

	while (!err && r->is_usable && b->len - off >= FRAME_HEADER_BYTES) {
		u32 len;

		memcpy(&len, b->data + off, sizeof(len));
		len = ntohl(len);
		if (len > FRAME_MAX_BYTES)
			return ERR_INVAL;
		if (b->len - off - FRAME_HEADER_BYTES < len)
			break;
		err = handle_frame(r, b->data + off + FRAME_HEADER_BYTES, len);
		off += FRAME_HEADER_BYTES + len;
	}
	g_byte_array_remove_range(r->inflated, 0, off);
	return err;
}

static int inflate_some(struct config_receive *r)
{
	u8 buf[INFLATE_BYTES];
	int ret;

	r->z.next_out = buf;
	r->z.avail_out = sizeof(buf);
	ret = inflate(&r->z, Z_NO_FLUSH);
	r->has_ended = ret == Z_STREAM_END;
	if (ret != Z_OK && ret != Z_STREAM_END && ret != Z_BUF_ERROR)
		return ERR_INVAL;
	g_byte_array_append(r->inflated, buf, (guint)(sizeof(buf) - r->z.avail_out));
	return handle_frames(r);
}

static int inflate_part(struct config_receive *r, const struct config_part *p)
{
	int err;

	if (r->has_ended)
		return ERR_INVAL;
	r->z.next_in = (Bytef *)(uintptr_t)p->bytes;
	r->z.avail_in = (uInt)p->len;
	do {
		err = inflate_some(r);
	} while (!err && r->is_usable && !r->has_ended && (r->z.avail_in || !r->z.avail_out));
	r->received += p->len;
	return !err && r->has_ended && r->z.avail_in ? ERR_INVAL : err;
}

/* The stream must end with its last byte, and with a whole frame. */
static int check_end(const struct config_receive *r)
{
	if (r->received < r->total || !r->is_usable)
		return 0;
	return r->has_ended && !r->inflated->len ? 0 : ERR_INVAL;
}

static int take_part(struct config_receive *r, const struct config_part *p)
{
	int err = p->offset ? 0 : begin(r, p);

	if (err)
		return err;
	if (!r->is_usable || !config_stream_id_equal(&r->stream, &p->stream) ||
	    r->total != p->total || r->received != p->offset)
		return ERR_INVAL;
	err = inflate_part(r, p);
	return err ? err : check_end(r);
}

int config_receive_part(struct config_receive *r, const struct config_part *p)
{
	int err = take_part(r, p);

	if (err)
		config_receive_clear(r);
	else if (r->received == r->total)
		free_buffers(r);
	return err;
}

bool config_receive_is_complete(const struct config_receive *r)
{
	return r->is_usable && r->total && r->received == r->total;
}

void config_receive_drop(struct config_receive *r)
{
	r->is_usable = false;
}

void config_receive_describe(const struct config_receive *r, struct config_request *q)
{
	if (!r->is_usable || r->received == r->total)
		return;
	q->stream = r->stream;
	q->received = r->received;
}
