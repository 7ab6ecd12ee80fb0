/* Lanes for long messages between control processes. */
#include "control/bulk.h"
#include "lib/err.h"
#include "wire/ctl.h"

#include <string.h>

#define FRAMES 5
#define FRAME_BYTES (100 * 1000)

/* Two ends of a lane. Parts wait in a queue until a test delivers them. */
struct ends {
	struct bulk_out out;
	struct bulk_in in;
	GQueue parts; /* of GBytes, payloads */
	u64 received[2 * FRAMES]; /* first fields of the frames that came out */
	u32 n;
	int handler_err;
};

static void queue_part(void *arg, struct frame_out *part)
{
	struct ends *e = arg;

	frame_end(part);
	g_queue_push_tail(&e->parts, g_bytes_new(part->buf.data + FRAME_HEADER_BYTES,
						 part->buf.size - FRAME_HEADER_BYTES));
}

static int on_frame(void *arg, u32 type, struct frame_in *in)
{
	struct ends *e = arg;
	size_t len;

	g_assert_cmpuint(type, ==, CTL_FORWARD);
	g_assert_cmpuint(e->n, <, G_N_ELEMENTS(e->received));
	e->received[e->n++] = frame_get_u64(in);
	frame_get_bin(in, &len);
	g_assert_cmpint(frame_done(in), ==, 0);
	return e->handler_err;
}

static void put(struct ends *e, u64 number, size_t bytes)
{
	g_autofree u8 *p = g_malloc0(bytes);
	FRAME_AUTO(f, CTL_FORWARD);

	frame_put_u64(&f, number);
	frame_put_bin(&f, p, bytes);
	bulk_put(&e->out, &f);
}

/* Delivers the oldest part. Returns the result. */
static int deliver(struct ends *e)
{
	g_autoptr(GBytes) part = g_queue_pop_head(&e->parts);
	struct frame_in in;
	gsize len;
	const void *p = g_bytes_get_data(part, &len);
	u64 offset;

	frame_in_init(&in, p, len);
	g_assert_cmpuint(frame_get_u64(&in), ==, CTL_BULK);
	g_assert_cmpuint(frame_get_u64(&in), ==, BULK_LOG);
	offset = frame_get_u64(&in);
	p = frame_get_bin(&in, &len);
	g_assert_cmpint(frame_done(&in), ==, 0);
	return bulk_receive(&e->in, offset, p, len, on_frame, e);
}

static void ends_clear(struct ends *e)
{
	g_queue_clear_full(&e->parts, (GDestroyNotify)g_bytes_unref);
	bulk_out_clear(&e->out);
	bulk_in_clear(&e->in);
}

static void test_frames_in_order_through_a_window(void)
{
	struct ends e = { 0 };

	for (u64 i = 0; i < FRAMES; i++) {
		put(&e, 2 * i, FRAME_BYTES);
		put(&e, 2 * i + 1, 1);
	}
	bulk_send(&e.out, BULK_LOG, queue_part, &e);
	while (e.parts.length) {
		g_assert_cmpuint(e.out.sent - e.in.received, <=, BULK_WINDOW_BYTES);
		g_assert_true(bulk_is_sending(&e.out));
		g_assert_cmpint(deliver(&e), ==, 0);
		g_assert_cmpint(bulk_acknowledge(&e.out, e.in.received), ==, 0);
		bulk_send(&e.out, BULK_LOG, queue_part, &e);
	}
	g_assert_false(bulk_is_sending(&e.out));
	g_assert_null(e.out.bytes);
	g_assert_null(e.in.bytes);
	g_assert_cmpuint(e.n, ==, 2 * FRAMES);
	for (u32 i = 0; i < e.n; i++)
		g_assert_cmpuint(e.received[i], ==, i);
	ends_clear(&e);
}

static void test_nothing_is_sent_beyond_the_window(void)
{
	struct ends e = { 0 };

	put(&e, 1, FRAME_BYTES);
	bulk_send(&e.out, BULK_LOG, queue_part, &e);
	bulk_send(&e.out, BULK_LOG, queue_part, &e);
	g_assert_cmpuint(e.parts.length, ==, BULK_WINDOW_BYTES / BULK_PART_BYTES);
	ends_clear(&e);
}

static void test_short_frames_need_no_lane(void)
{
	struct bulk_out out = { 0 };
	FRAME_AUTO(f, CTL_FORWARD);

	g_assert_false(bulk_needs_lane(&out, &f, 0));
	/* Many short frames, none of them acknowledged, take as long as a long one. */
	g_assert_true(bulk_needs_lane(&out, &f, BULK_DIRECT_BYTES));
	/* A frame does not overtake those in the lane. */
	bulk_put(&out, &f);
	g_assert_true(bulk_needs_lane(&out, &f, 0));
	bulk_out_clear(&out);
}

static void test_what_does_not_fit_is_refused(void)
{
	static const u8 part[BULK_PART_BYTES + 1];
	static const u8 too_large[FRAME_HEADER_BYTES] = { 0xff, 0xff, 0xff, 0xff };
	struct ends e = { 0 };
	int err;

	err = bulk_receive(&e.in, 1, part, 1, on_frame, &e);
	g_assert_cmpint(err, ==, ERR_INVAL);
	err = bulk_receive(&e.in, 0, part, 0, on_frame, &e);
	g_assert_cmpint(err, ==, ERR_INVAL);
	err = bulk_receive(&e.in, 0, part, sizeof(part), on_frame, &e);
	g_assert_cmpint(err, ==, ERR_INVAL);
	err = bulk_receive(&e.in, 0, too_large, sizeof(too_large), on_frame, &e);
	g_assert_cmpint(err, ==, ERR_TOOBIG);
	g_assert_cmpint(bulk_acknowledge(&e.out, 1), ==, ERR_INVAL);
	put(&e, 1, 1);
	bulk_send(&e.out, BULK_LOG, queue_part, &e);
	g_assert_cmpint(bulk_acknowledge(&e.out, e.out.sent), ==, 0);
	g_assert_cmpint(bulk_acknowledge(&e.out, e.out.sent - 1), ==, ERR_INVAL);
	ends_clear(&e);
}

static void test_an_error_of_the_handler_is_returned(void)
{
	struct ends e = { .handler_err = ERR_INVAL };

	put(&e, 1, 1);
	put(&e, 2, 1);
	bulk_send(&e.out, BULK_LOG, queue_part, &e);
	g_assert_cmpint(deliver(&e), ==, ERR_INVAL);
	g_assert_cmpuint(e.n, ==, 1);
	ends_clear(&e);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bulk/frames-in-order-through-a-window",
			test_frames_in_order_through_a_window);
	g_test_add_func("/bulk/nothing-is-sent-beyond-the-window",
			test_nothing_is_sent_beyond_the_window);
	g_test_add_func("/bulk/short-frames-need-no-lane", test_short_frames_need_no_lane);
	g_test_add_func("/bulk/what-does-not-fit-is-refused", test_what_does_not_fit_is_refused);
	g_test_add_func("/bulk/an-error-of-the-handler-is-returned",
			test_an_error_of_the_handler_is_returned);
	return g_test_run();
}
