/* A configuration stream in parts: what a node takes, and what it refuses. */
#include "control/config_stream.h"
#include "lib/err.h"
#include "lib/rng.h"
#include "node/config_receive.h"
#include "wire/ctl.h"

#include <arpa/inet.h>
#include <string.h>

#define FRAMES 40
#define ROUTES 100

/* What the node's side has handled. */
struct taken {
	u32 begun;
	u32 frames;
	u64 values; /* of the first value of each frame, added up */
	struct config_receive *drop_at_first; /* drops the stream at the first frame */
};

static void on_begin(void *arg)
{
	((struct taken *)arg)->begun++;
}

static int on_frame(void *arg, u32 type, struct frame_in *in)
{
	struct taken *t = arg;

	t->frames++;
	t->values += frame_get_u64(in);
	if (t->drop_at_first)
		config_receive_drop(t->drop_at_first);
	return type == CTL_CONFIG ? 0 : ERR_INVAL;
}

static const struct config_receive_ops ops = { .begin = on_begin, .frame = on_frame };

static struct frame_out *config_frame(u64 value, u64 salt)
{
	struct frame_out *f = ctl_frame_new(CTL_CONFIG);
	struct rng rng = { .state = value + salt };

	frame_put_u64(f, value);
	for (u32 i = 0; i < ROUTES; i++) {
		g_autofree char *route = g_strdup_printf(
			"{\"name\":\"r%u\",\"prefix\":\"/%x/\",\"timeout_ms\":1000}", i,
			rng_below(&rng, UINT32_MAX));

		frame_put_str(f, route);
	}
	return f;
}

/* The sum of the values of the frames 1 to FRAMES. */
#define VALUES (FRAMES * (FRAMES + 1) / 2)

static struct config_stream *stream_new(u64 salt)
{
	g_autoptr(GPtrArray) frames = g_ptr_array_new_with_free_func(ctl_frame_free);

	for (u64 i = 1; i <= FRAMES; i++)
		g_ptr_array_add(frames, config_frame(i, salt));
	return config_stream_new(3, 4, frames);
}

static struct config_part part_of(const struct config_stream *s, u64 offset, size_t len)
{
	return (struct config_part){ .request = 9,
				     .stream = s->id,
				     .total = s->bytes->len,
				     .offset = offset,
				     .bytes = s->bytes->data + offset,
				     .len = MIN(len, s->bytes->len - offset) };
}

/* Takes a part and works on it until nothing waits. Returns the first error. */
static int receive(struct config_receive *r, const struct config_part *p)
{
	int err = config_receive_part(r, p);

	while (!err && config_receive_has_work(r))
		err = config_receive_work(r);
	return err;
}

/*
 * Takes the stream from where R is, in parts of PART_BYTES, up to UNTIL. Returns the first error.
 */
static int take(struct config_receive *r, const struct config_stream *s, size_t part_bytes,
		u64 until)
{
	int err = 0;

	while (!err && r->received < until) {
		struct config_part p =
			part_of(s, r->received, MIN(part_bytes, until - r->received));

		err = receive(r, &p);
	}
	return err;
}

/* Parts of any size give all frames, each once. */
static void test_round_trip(void)
{
	const size_t sizes[] = { 1, 7, 1000, CONFIG_PART_BYTES, 1000000 };
	struct config_stream *s = stream_new(0);

	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct taken t = { 0 };
		struct config_receive r;

		config_receive_init(&r, &ops, &t);
		g_assert_cmpint(take(&r, s, sizes[i], s->bytes->len), ==, 0);
		g_assert_true(config_receive_is_complete(&r));
		g_assert_cmpuint(t.begun, ==, 1);
		g_assert_cmpuint(t.frames, ==, FRAMES);
		g_assert_cmpuint(t.values, ==, VALUES);
		config_receive_clear(&r);
	}
	config_stream_unref(s);
}

/* Guards against: a frame is held back until the whole stream has come. */
static void test_frame_waits_for_the_stream(void)
{
	struct config_stream *s = stream_new(0);
	struct taken t = { 0 };
	struct config_receive r;

	config_receive_init(&r, &ops, &t);
	g_assert_cmpint(take(&r, s, CONFIG_PART_BYTES, s->bytes->len / 2), ==, 0);
	g_assert_cmpuint(t.frames, >, FRAMES / 4);
	g_assert_cmpuint(t.frames, <, FRAMES);
	config_receive_clear(&r);
	config_stream_unref(s);
}

/* Guards against: another stream, or a gap, is taken for the rest of the one under way. */
static void test_rest_of_another_stream(void)
{
	struct config_stream *s = stream_new(0);
	struct config_stream *other = stream_new(1000);
	struct taken t = { 0 };
	struct config_receive r;
	struct config_part p;

	config_receive_init(&r, &ops, &t);
	p = part_of(s, 1000, 1000);
	g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
	g_assert_cmpint(take(&r, s, 1000, 1000), ==, 0);
	p = part_of(other, 1000, 1000);
	g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
	g_assert_cmpint(take(&r, s, 1000, 2000), ==, 0);
	p = part_of(s, 3000, 1000);
	g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
	/* A refused part ends the stream, and the next one begins anew. */
	p = part_of(s, 2000, 1000);
	g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
	g_assert_cmpint(take(&r, other, 1000, 2000), ==, 0);
	p = part_of(s, 0, s->bytes->len);
	g_assert_cmpint(receive(&r, &p), ==, 0);
	g_assert_true(config_receive_is_complete(&r));
	config_receive_clear(&r);
	config_stream_unref(s);
	config_stream_unref(other);
}

/* What a node says of an unfinished stream to the next control process. */
static void test_describe(void)
{
	struct config_stream *s = stream_new(0);
	struct config_request q = { 0 };
	struct taken t = { 0 };
	struct config_receive r;

	config_receive_init(&r, &ops, &t);
	config_receive_describe(&r, &q);
	g_assert_cmpuint(q.received, ==, 0);
	take(&r, s, 1000, 3000);
	config_receive_describe(&r, &q);
	g_assert_cmpuint(q.received, ==, 3000);
	g_assert_true(config_stream_id_equal(&q.stream, &s->id));
	config_receive_drop(&r);
	q = (struct config_request){ 0 };
	config_receive_describe(&r, &q);
	g_assert_cmpuint(q.received, ==, 0);
	config_receive_clear(&r);
	take(&r, s, 1000, s->bytes->len);
	config_receive_describe(&r, &q);
	g_assert_cmpuint(q.received, ==, 0);
	config_receive_clear(&r);
	config_stream_unref(s);
}

/* Guards against: frames of a stream that was dropped at an earlier frame are handled. */
static void test_frames_after_drop(void)
{
	struct config_stream *s = stream_new(0);
	struct config_receive r;
	struct taken t = { .drop_at_first = &r };
	struct config_part p = part_of(s, 0, s->bytes->len);

	config_receive_init(&r, &ops, &t);
	g_assert_cmpint(receive(&r, &p), ==, 0);
	g_assert_cmpuint(t.frames, ==, 1);
	g_assert_false(config_receive_is_complete(&r));
	config_receive_clear(&r);
	config_stream_unref(s);
}

/*
 * Guards against: parts that come while others are worked on are handled in the same turn, out of
 * their order, or kept without a bound.
 */
static void test_parts_that_wait(void)
{
	struct config_stream *s = stream_new(0);
	struct taken t = { 0 };
	struct config_receive r;
	struct config_part p;
	u32 turns = 0;

	config_receive_init(&r, &ops, &t);
	while (r.taken < s->bytes->len) {
		p = part_of(s, r.taken, 5000);
		g_assert_cmpint(config_receive_part(&r, &p), ==, 0);
		g_assert_cmpuint(t.frames, ==, 0);
	}
	g_assert_cmpuint(r.received, ==, 0);
	for (u64 frames = 0; config_receive_has_work(&r); frames = t.frames, turns++) {
		g_assert_cmpint(config_receive_work(&r), ==, 0);
		g_assert_cmpuint(t.frames - frames, <=, 1);
	}
	g_assert_true(config_receive_is_complete(&r));
	g_assert_cmpuint(turns, >=, FRAMES);
	g_assert_cmpuint(t.values, ==, VALUES);
	config_receive_clear(&r);
	config_stream_unref(s);
}

/* Guards against: a control process that ignores acknowledgements fills the memory of a node. */
static void test_more_than_a_window_waits(void)
{
	struct config_stream *s = stream_new(0);
	struct taken t = { 0 };
	struct config_receive r;
	int err = 0;

	g_byte_array_set_size(s->bytes, 4 * CONFIG_WINDOW_MAX_BYTES);
	config_receive_init(&r, &ops, &t);
	while (!err) {
		struct config_part p = part_of(s, r.taken, CONFIG_PART_BYTES);

		err = config_receive_part(&r, &p);
		g_assert_cmpuint(r.taken - r.received, <=, CONFIG_WINDOW_MAX_BYTES);
	}
	g_assert_cmpint(err, ==, ERR_INVAL);
	g_assert_false(config_receive_has_work(&r));
	config_receive_clear(&r);
	config_stream_unref(s);
}

/* Guards against: parts of a stream that another one replaces are handled as parts of it. */
static void test_parts_of_replaced_stream(void)
{
	struct config_stream *s = stream_new(0);
	struct config_stream *other = stream_new(1000);
	struct taken t = { 0 };
	struct config_receive r;
	struct config_part p = part_of(s, 0, 20000);

	config_receive_init(&r, &ops, &t);
	g_assert_cmpint(config_receive_part(&r, &p), ==, 0);
	g_assert_cmpint(config_receive_work(&r), ==, 0);
	g_assert_true(config_receive_has_work(&r));
	t.frames = 0;
	t.values = 0;
	g_assert_cmpint(take(&r, other, CONFIG_PART_BYTES, other->bytes->len), ==, 0);
	g_assert_true(config_receive_is_complete(&r));
	g_assert_cmpuint(t.frames, ==, FRAMES);
	g_assert_cmpuint(t.values, ==, VALUES);
	config_receive_clear(&r);
	config_stream_unref(s);
	config_stream_unref(other);
}

/* A stream that ends before or after its deflated bytes leaves a part unread. */
static void test_wrong_length(void)
{
	struct config_stream *s = stream_new(0);
	guint len = s->bytes->len;

	for (guint cut = 1; cut < len; cut += cut + 1) {
		struct taken t = { 0 };
		struct config_receive r;
		struct config_part p = part_of(s, 0, len - cut);

		p.total = len - cut;
		config_receive_init(&r, &ops, &t);
		g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
		g_assert_false(config_receive_is_complete(&r));
	}
	for (guint more = 1; more < 100; more *= 3) {
		struct taken t = { 0 };
		struct config_receive r;
		struct config_part p = part_of(s, 0, len);

		g_byte_array_append(s->bytes,
				    (const u8 *)"xxxxxxxxxxxxxxxxxxxxxxxxxxxx"
						"xxxxxxxxxxxxxxxxxxxxxxxxxxxx"
						"xxxxxxxxxxxxxxxxxxxxxxxxxxxx",
				    more);
		p = part_of(s, 0, len + more);
		config_receive_init(&r, &ops, &t);
		g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
		g_assert_false(config_receive_is_complete(&r));
		g_byte_array_set_size(s->bytes, len);
	}
	config_stream_unref(s);
}

/* Frames whose length is over the limit, or goes on after the end of the stream. */
static void test_wrong_frame_length(void)
{
	const u32 lengths[] = { FRAME_MAX_BYTES + 1, UINT32_MAX, 1000, 0 };

	for (guint i = 0; i < G_N_ELEMENTS(lengths); i++) {
		g_autoptr(GPtrArray) frames = g_ptr_array_new_with_free_func(ctl_frame_free);
		struct frame_out *f = config_frame(1, 0);
		u32 len = htonl(lengths[i]);
		struct config_stream *s;
		struct taken t = { 0 };
		struct config_receive r;
		struct config_part p;
		u8 bytes[2000] = { 0 };
		uLongf out_len = compressBound(sizeof(bytes));
		g_autofree u8 *out = g_malloc(out_len);

		g_ptr_array_add(frames, f);
		s = config_stream_new(0, 1, frames);
		memcpy(bytes, &len, sizeof(len));
		memcpy(bytes + sizeof(len), f->buf.data + sizeof(len), 100);
		g_assert_cmpint(compress(out, &out_len, bytes, 500), ==, Z_OK);
		g_byte_array_set_size(s->bytes, 0);
		g_byte_array_append(s->bytes, out, (guint)out_len);
		p = part_of(s, 0, s->bytes->len);
		config_receive_init(&r, &ops, &t);
		g_assert_cmpint(receive(&r, &p), ==, ERR_INVAL);
		g_assert_false(config_receive_is_complete(&r));
		config_stream_unref(s);
	}
}

/* Encodes the part and reads it as a node does; bits of one of its bytes are damaged between. */
static void expect_read(int expected, const struct config_part *p, u32 flip_byte, u8 flip_bits)
{
	struct config_part out;
	int err;
	struct frame_in in;
	FRAME_AUTO(f, CTL_CONFIG_PART);

	config_part_put(&f, p);
	f.buf.data[f.buf.size - p->len + flip_byte] ^= (char)flip_bits;
	frame_in_init(&in, f.buf.data + FRAME_HEADER_BYTES, frame_end(&f) - FRAME_HEADER_BYTES);
	frame_get_u64(&in);
	err = config_part_get(&in, &out);
	g_assert_cmpint(err, ==, expected);
	if (!err)
		g_assert_cmpmem(out.bytes, out.len, p->bytes, p->len);
}

/* No damaged byte is inflated, and none of another place or stream. */
static void test_damaged(void)
{
	struct config_stream *s = stream_new(0);
	struct config_part p = part_of(s, 0, 2000);
	struct rng rng = { .state = 5 };

	expect_read(0, &p, 0, 0);
	for (u32 i = 0; i < 500; i++) {
		u32 at = rng_below(&rng, (u32)p.len);
		u8 bit = (u8)(1u << rng_below(&rng, 8));

		expect_read(ERR_INVAL, &p, at, bit);
	}
	config_stream_unref(s);
}

/* Parts that are not inside their stream, or of a stream that is too long. */
static void test_part_outside_stream(void)
{
	struct config_stream *s = stream_new(0);
	struct config_part p = part_of(s, 0, 100);

	p.offset = p.total;
	expect_read(ERR_INVAL, &p, 0, 0);
	p.offset = p.total - 99;
	expect_read(ERR_INVAL, &p, 0, 0);
	p.offset = UINT64_MAX - 10;
	expect_read(ERR_INVAL, &p, 0, 0);
	p.offset = 0;
	p.total = CONFIG_STREAM_MAX_BYTES + 1;
	expect_read(ERR_INVAL, &p, 0, 0);
	p.total = 1000;
	p.len = 0;
	expect_read(ERR_INVAL, &p, 0, 0);
	config_stream_unref(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-receive/round-trip", test_round_trip);
	g_test_add_func("/config-receive/frame-waits-for-the-stream",
			test_frame_waits_for_the_stream);
	g_test_add_func("/config-receive/rest-of-another-stream", test_rest_of_another_stream);
	g_test_add_func("/config-receive/describe", test_describe);
	g_test_add_func("/config-receive/frames-after-drop", test_frames_after_drop);
	g_test_add_func("/config-receive/parts-that-wait", test_parts_that_wait);
	g_test_add_func("/config-receive/more-than-a-window-waits", test_more_than_a_window_waits);
	g_test_add_func("/config-receive/parts-of-replaced-stream", test_parts_of_replaced_stream);
	g_test_add_func("/config-receive/wrong-length", test_wrong_length);
	g_test_add_func("/config-receive/wrong-frame-length", test_wrong_frame_length);
	g_test_add_func("/config-receive/damaged", test_damaged);
	g_test_add_func("/config-receive/part-outside-stream", test_part_outside_stream);
	return g_test_run();
}
