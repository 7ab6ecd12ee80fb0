#include "node/config_receive.h"

#include "lib/err.h"

#include <arpa/inet.h>
#include <string.h>

#define INFLATE_BYTES (16 * 1024)
/* A turn is over after one frame, or after this much was inflated without one. */
#define TURN_INFLATIONS 4

void config_receive_init(struct config_receive *r, const struct config_receive_ops *ops, void *arg)
{
	memset(r, 0, sizeof(*r));
	r->ops = ops;
	r->arg = arg;
}

static void free_waiting(struct config_receive *r)
{
	g_queue_clear_full(&r->waiting, g_free);
	r->is_in_part = false;
}

static void free_buffers(struct config_receive *r)
{
	free_waiting(r);
	if (r->inflated)
		inflateEnd(&r->z);
	g_clear_pointer(&r->inflated, g_byte_array_unref);
}

void config_receive_clear(struct config_receive *r)
{
	free_buffers(r);
	r->total = 0;
	r->received = 0;
	r->taken = 0;
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

static void add_waiting(struct config_receive *r, const struct config_part *p)
{
	struct config_receive_part *part = g_malloc(sizeof(*part) + p->len);

	part->request = p->request;
	part->len = p->len;
	memcpy(part->bytes, p->bytes, p->len);
	g_queue_push_tail(&r->waiting, part);
	r->taken += p->len;
}

/* Control sends no more than a window beyond what was acknowledged. */
static bool has_room(const struct config_receive *r, const struct config_part *p)
{
	u64 waiting = r->taken - r->received;

	return !waiting || waiting + p->len <= CONFIG_WINDOW_MAX_BYTES;
}

static int take_part(struct config_receive *r, const struct config_part *p)
{
	int err = p->offset ? 0 : begin(r, p);

	if (err)
		return err;
	if (!r->is_usable || !config_stream_id_equal(&r->stream, &p->stream) ||
	    r->total != p->total || r->taken != p->offset || !has_room(r, p))
		return ERR_INVAL;
	add_waiting(r, p);
	return 0;
}

int config_receive_part(struct config_receive *r, const struct config_part *p)
{
	int err = take_part(r, p);

	if (err)
		config_receive_clear(r);
	return err;
}

bool config_receive_has_work(const struct config_receive *r)
{
	return r->is_usable && r->waiting.length;
}

static int begin_part(struct config_receive *r)
{
	struct config_receive_part *part = g_queue_peek_head(&r->waiting);

	r->is_in_part = true;
	r->request = part->request;
	r->z.next_in = part->bytes;
	r->z.avail_in = (uInt)part->len;
	r->may_inflate = true;
	return r->has_ended ? ERR_INVAL : 0;
}

/* The stream must end with its last byte, and with a whole frame. */
static int check_end(const struct config_receive *r)
{
	if (r->received < r->total)
		return 0;
	return r->has_ended && !r->inflated->len ? 0 : ERR_INVAL;
}

static int end_part(struct config_receive *r)
{
	g_autofree struct config_receive_part *part = g_queue_pop_head(&r->waiting);

	r->is_in_part = false;
	r->received += part->len;
	return r->z.avail_in ? ERR_INVAL : check_end(r);
}

/* Sets the bytes of the first frame with its header; 0 if it is not complete. */
static int first_frame(const struct config_receive *r, guint *bytes)
{
	const GByteArray *b = r->inflated;
	u32 len;

	*bytes = 0;
	if (b->len < FRAME_HEADER_BYTES)
		return 0;
	memcpy(&len, b->data, sizeof(len));
	len = ntohl(len);
	if (len > FRAME_MAX_BYTES)
		return ERR_INVAL;
	if (b->len - FRAME_HEADER_BYTES >= len)
		*bytes = FRAME_HEADER_BYTES + len;
	return 0;
}

static int handle_frame(struct config_receive *r, guint bytes)
{
	struct frame_in in;
	u32 type;
	int err;

	frame_in_init(&in, r->inflated->data + FRAME_HEADER_BYTES, bytes - FRAME_HEADER_BYTES);
	type = (u32)frame_get_u64(&in);
	err = in.err ? ERR_INVAL : r->ops->frame(r->arg, type, &in);
	g_byte_array_remove_range(r->inflated, 0, bytes);
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
	r->may_inflate = !r->has_ended && (r->z.avail_in || !r->z.avail_out);
	if (ret != Z_OK && ret != Z_STREAM_END && ret != Z_BUF_ERROR)
		return ERR_INVAL;
	g_byte_array_append(r->inflated, buf, (guint)(sizeof(buf) - r->z.avail_out));
	return 0;
}

/* What one turn has done. */
struct turn {
	bool has_frame;
	u32 inflations;
};

/* Returns whether the turn may go on: to end a part, after which nothing is left, it always may. */
static bool may_go_on(const struct config_receive *r, const struct turn *t)
{
	if (!config_receive_has_work(r))
		return false;
	if (r->is_in_part && !r->may_inflate && r->inflated->len < FRAME_HEADER_BYTES)
		return true;
	return !t->has_frame && t->inflations < TURN_INFLATIONS;
}

/* Handles a frame, or inflates some bytes, or ends the part if neither is left. */
static int do_step(struct config_receive *r, struct turn *t)
{
	guint bytes;
	int err = r->is_in_part ? 0 : begin_part(r);

	if (!err)
		err = first_frame(r, &bytes);
	if (err)
		return err;
	if (bytes) {
		t->has_frame = true;
		return handle_frame(r, bytes);
	}
	if (!r->may_inflate)
		return end_part(r);
	t->inflations++;
	return inflate_some(r);
}

int config_receive_work(struct config_receive *r)
{
	struct turn t = { 0 };
	int err = 0;

	while (!err && may_go_on(r, &t))
		err = do_step(r, &t);
	if (err)
		config_receive_clear(r);
	else if (!r->is_usable || r->received == r->total)
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
