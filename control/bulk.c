#include "control/bulk.h"

#include "lib/err.h"
#include "wire/ctl.h"

#include <arpa/inet.h>
#include <string.h>

/* Sent bytes are removed once they are this many and half of the array. */
#define DROP_BYTES (64 * 1024)

void bulk_put(struct bulk_out *b, struct frame_out *frame)
{
	size_t len = frame_end(frame);

	if (!b->bytes)
		b->bytes = g_byte_array_new();
	g_byte_array_append(b->bytes, (const guint8 *)frame->buf.data, (guint)len);
}

static guint unsent(const struct bulk_out *b)
{
	return b->bytes ? b->bytes->len - b->off : 0;
}

static void drop_sent(struct bulk_out *b)
{
	if (!unsent(b)) {
		g_clear_pointer(&b->bytes, g_byte_array_unref);
		b->off = 0;
	} else if (b->off >= DROP_BYTES && b->off >= b->bytes->len / 2) {
		g_byte_array_remove_range(b->bytes, 0, b->off);
		b->off = 0;
	}
}

void bulk_send(struct bulk_out *b, enum bulk_lane lane,
	       void (*send)(void *arg, struct frame_out *part), void *arg)
{
	while (unsent(b) && b->sent - b->acknowledged + BULK_PART_BYTES <= BULK_WINDOW_BYTES) {
		guint n = MIN(unsent(b), (guint)BULK_PART_BYTES);
		FRAME_AUTO(f, CTL_BULK);

		frame_put_u64(&f, lane);
		frame_put_u64(&f, b->sent);
		frame_put_bin(&f, b->bytes->data + b->off, n);
		b->off += n;
		b->sent += n;
		drop_sent(b);
		send(arg, &f);
	}
}

int bulk_acknowledge(struct bulk_out *b, u64 received)
{
	if (received < b->acknowledged || received > b->sent)
		return ERR_INVAL;
	b->acknowledged = received;
	return 0;
}

bool bulk_is_sending(const struct bulk_out *b)
{
	return unsent(b) || b->sent != b->acknowledged;
}

bool bulk_needs_lane(const struct bulk_out *b, struct frame_out *frame, u64 direct)
{
	return bulk_is_sending(b) || frame_end(frame) + direct > BULK_DIRECT_BYTES;
}

void bulk_out_clear(struct bulk_out *b)
{
	g_clear_pointer(&b->bytes, g_byte_array_unref);
	memset(b, 0, sizeof(*b));
}

static int handle_frame(const guint8 *payload, u32 len,
			int (*handle)(void *arg, u32 type, struct frame_in *in), void *arg)
{
	struct frame_in in;
	u32 type;

	frame_in_init(&in, payload, len);
	type = (u32)frame_get_u64(&in);
	return in.err ? ERR_INVAL : handle(arg, type, &in);
}

/* Handles the complete frames and sets *CONSUMED to their bytes. */
static int handle_frames(struct bulk_in *b, guint *consumed,
			 int (*handle)(void *arg, u32 type, struct frame_in *in), void *arg)
{
	int err = 0;

	while (!err && b->bytes->len - *consumed >= FRAME_HEADER_BYTES) {
		const guint8 *p = b->bytes->data + *consumed;
		u32 len;

		memcpy(&len, p, sizeof(len));
		len = ntohl(len);
		if (len > FRAME_MAX_BYTES)
			return ERR_TOOBIG;
		if (b->bytes->len - *consumed - FRAME_HEADER_BYTES < len)
			break;
		err = handle_frame(p + FRAME_HEADER_BYTES, len, handle, arg);
		*consumed += FRAME_HEADER_BYTES + len;
	}
	return err;
}

int bulk_receive(struct bulk_in *b, u64 offset, const void *p, size_t len,
		 int (*handle)(void *arg, u32 type, struct frame_in *in), void *arg)
{
	guint consumed = 0;
	int err;

	if (offset != b->received || !len || len > BULK_PART_BYTES)
		return ERR_INVAL;
	b->received += len;
	if (!b->bytes)
		b->bytes = g_byte_array_new();
	g_byte_array_append(b->bytes, p, (guint)len);
	err = handle_frames(b, &consumed, handle, arg);
	if (consumed < b->bytes->len)
		g_byte_array_remove_range(b->bytes, 0, consumed);
	else
		g_clear_pointer(&b->bytes, g_byte_array_unref);
	return err;
}

void bulk_in_clear(struct bulk_in *b)
{
	g_clear_pointer(&b->bytes, g_byte_array_unref);
	memset(b, 0, sizeof(*b));
}
