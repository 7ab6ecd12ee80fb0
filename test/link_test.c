/* Tests links between two ends on loopback; in most tests one end is a raw socket. */
#include "kernel/link.h"
#include "lib/ctr.h"
#include "lib/err.h"
#include "lib/log.h"
#include "test/fakes/paced_relay.h"
#include "test/fakes/raw_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TYPE_TEXT LINK_TYPE_FIRST
#define WAIT_MAX_US (20 * US_PER_S)
/* Offset of the raw end's clock, since a clock of another machine has another zero. */
#define REMOTE_CLOCK_OFFSET_US (100000 * US_PER_S)

static struct link_id self = { .cluster = (char *)"breizh",
			       .role = LINK_NODE,
			       .name = (char *)"127.0.0.1:1",
			       .zone = (char *)"z",
			       .region = (char *)"r",
			       .incarnation = 1 };

struct end {
	struct loop *loop;
	struct link_listener *listener;
	u16 port;
	struct link *link;
	bool closes_in_frame;
	bool had_clock_offset;
	gint ups;
	gint frames;
	gint downs;
	gint err;
	u64 silence_us; /* the longest that was measured */
	i64 local_us; /* remote_us converted to the local clock */
	u64 remote_us;
	int raw_fd; /* the raw end, in test_last_frames_lost_by_a_reset */
	size_t queued_bytes;
};

static void on_up(struct link *k)
{
	struct end *e = k->arg;

	e->link = k;
	e->had_clock_offset = k->has_clock_offset;
	g_atomic_int_inc(&e->ups);
}

static int on_frame(struct link *k, u32 type, struct frame_in *in)
{
	struct end *e = k->arg;

	(void)in;
	if (type != TYPE_TEXT)
		return ERR_INVAL;
	g_atomic_int_inc(&e->frames);
	if (e->closes_in_frame) {
		e->link = NULL;
		link_close(k);
	}
	return 0;
}

static void on_down(struct link *k, int err)
{
	struct end *e = k->arg;

	e->link = NULL;
	g_atomic_int_set(&e->err, err);
	g_atomic_int_inc(&e->downs);
}

static const struct link_ops ops = { .up = on_up, .frame = on_frame, .down = on_down };

static void do_listen(void *arg)
{
	struct end *e = arg;

	e->listener = link_listen(e->loop, &self, "127.0.0.1", e->port, &ops, e);
	g_assert_nonnull(e->listener);
}

static void do_dial(void *arg)
{
	struct end *e = arg;

	e->link = link_dial(e->loop, &self, "127.0.0.1", e->port, &ops, e);
	g_assert_nonnull(e->link);
}

static void do_close(void *arg)
{
	struct end *e = arg;

	if (e->link)
		link_close(e->link);
	if (e->listener)
		link_stop_listening(e->listener);
}

static void start(struct end *e)
{
	memset(e, 0, sizeof(*e));
	e->loop = loop_new("test");
	g_assert_cmpint(loop_start(e->loop), ==, 0);
}

static void start_listener(struct end *e)
{
	int fd;

	start(e);
	fd = raw_listen(&e->port);
	close(fd);
	loop_call(e->loop, do_listen, e);
}

static void stop(struct end *e)
{
	loop_call(e->loop, do_close, e);
	loop_stop(e->loop);
	loop_free(e->loop);
}

static void wait_for(gint *value, gint min)
{
	u64 end = loop_clock_us() + WAIT_MAX_US;

	while (g_atomic_int_get(value) < min && loop_clock_us() < end)
		g_usleep(US_PER_MS);
	g_assert_cmpint(g_atomic_int_get(value), >=, min);
}

/* The raw end */

static void raw_send(int fd, struct frame_out *f)
{
	size_t len = frame_end(f);

	g_assert_cmpint(send(fd, f->buf.data, len, MSG_NOSIGNAL), ==, (ssize_t)len);
}

static void raw_send_hello(int fd, const char *cluster)
{
	FRAME_AUTO(f, LINK_HELLO);

	frame_put_str(&f, cluster);
	frame_put_u64(&f, LINK_NODE);
	frame_put_str(&f, "127.0.0.1:2");
	frame_put_str(&f, "z");
	frame_put_str(&f, "r");
	frame_put_u64(&f, 5);
	frame_put_u64(&f, 0);
	raw_send(fd, &f);
}

/* Returns the type of the next frame, 0 at end of stream; *VALUE is the timestamp of a PING. */
static u32 raw_read_frame(int fd, u64 *value)
{
	char buf[1024];
	struct frame_in in;
	u32 len;
	u32 type;

	if (recv(fd, &len, sizeof(len), MSG_WAITALL) != sizeof(len))
		return 0;
	len = ntohl(len);
	g_assert_cmpuint(len, <, sizeof(buf));
	g_assert_cmpint(recv(fd, buf, len, MSG_WAITALL), ==, (ssize_t)len);
	frame_in_init(&in, buf, len);
	type = (u32)frame_get_u64(&in);
	*value = type == LINK_PING ? frame_get_u64(&in) : 0;
	return type;
}

static void raw_send_pong(int fd, u64 sent_us)
{
	FRAME_AUTO(f, LINK_PONG);

	frame_put_u64(&f, sent_us);
	frame_put_u64(&f, loop_clock_us() + REMOTE_CLOCK_OFFSET_US);
	raw_send(fd, &f);
}

static void raw_send_text(int fd)
{
	FRAME_AUTO(f, TYPE_TEXT);

	raw_send(fd, &f);
}

/* Sends all frames in one call, since the other end may close after the first. */
static void raw_send_texts(int fd, u32 n)
{
	g_autoptr(GByteArray) all = g_byte_array_new();

	for (u32 i = 0; i < n; i++) {
		FRAME_AUTO(f, TYPE_TEXT);
		size_t len = frame_end(&f);

		g_byte_array_append(all, (const guint8 *)f.buf.data, (guint)len);
	}
	g_assert_cmpint(send(fd, all->data, all->len, MSG_NOSIGNAL), ==, (gssize)all->len);
}

/* Brings the link up: sends HELLO, waits for the first PING and answers it after DELAY_US. */
static void raw_handshake(int fd, u64 delay_us)
{
	u64 sent_us;
	u32 type;

	raw_send_hello(fd, "breizh");
	while ((type = raw_read_frame(fd, &sent_us)) != LINK_PING)
		g_assert_cmpuint(type, !=, 0);
	g_usleep(delay_us);
	raw_send_pong(fd, sent_us);
}

static void assert_closed(int fd)
{
	u64 unused;

	while (raw_read_frame(fd, &unused))
		;
	close(fd);
}

/* Tests */

static void test_link_comes_up(void)
{
	struct end a;
	struct end b;

	start_listener(&a);
	start(&b);
	b.port = a.port;
	loop_call(b.loop, do_dial, &b);
	wait_for(&a.ups, 1);
	wait_for(&b.ups, 1);
	g_assert_true(a.had_clock_offset);
	g_assert_true(b.had_clock_offset);
	stop(&b);
	wait_for(&a.downs, 1);
	g_assert_cmpint(a.err, ==, ERR_CLOSED);
	stop(&a);
}

/* Checks that a misbehaving link is closed and counted, and that the listener still accepts. */
static void check_closed_and_counted(enum ctr reason, void (*misbehave)(int fd))
{
	u64 before = ctr_get(reason);
	struct end e;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	misbehave(fd);
	assert_closed(fd);
	g_assert_cmpuint(ctr_get(reason), ==, before + 1);
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	wait_for(&e.ups, 1);
	close(fd);
	wait_for(&e.downs, 1);
	stop(&e);
}

static void send_bytes(int fd, const void *data, size_t len)
{
	g_assert_cmpint(send(fd, data, len, MSG_NOSIGNAL), ==, (ssize_t)len);
}

static void send_garbage(int fd)
{
	send_bytes(fd, "\0\0\0\4\xc1\xc1\xc1\xc1", 8);
}

static void send_huge_length(int fd)
{
	send_bytes(fd, "\x7f\xff\xff\xff", 4);
}

static void send_empty_frame(int fd)
{
	send_bytes(fd, "\0\0\0\0", 4);
}

static void send_before_hello(int fd)
{
	raw_send_text(fd);
}

static void send_before_pong(int fd)
{
	raw_send_hello(fd, "breizh");
	raw_send_text(fd);
}

static void send_other_cluster(int fd)
{
	raw_send_hello(fd, "lakes");
}

static void send_hello_twice(int fd)
{
	raw_send_hello(fd, "breizh");
	raw_send_hello(fd, "breizh");
}

static void send_nothing(int fd)
{
	(void)fd;
}

static void send_half_a_frame(int fd)
{
	send_bytes(fd, "\0\0\0\x20\x01\x02", 6);
}

static void send_only_hello(int fd)
{
	raw_send_hello(fd, "breizh");
}

static void test_bad_frames(void)
{
	check_closed_and_counted(CTR_FRAME_BAD, send_garbage);
	check_closed_and_counted(CTR_FRAME_BAD, send_empty_frame);
	check_closed_and_counted(CTR_FRAME_BAD, send_before_hello);
	check_closed_and_counted(CTR_FRAME_BAD, send_before_pong);
	check_closed_and_counted(CTR_FRAME_BAD, send_other_cluster);
	check_closed_and_counted(CTR_FRAME_BAD, send_hello_twice);
	check_closed_and_counted(CTR_FRAME_TOO_LARGE, send_huge_length);
}

static void test_silence(void)
{
	check_closed_and_counted(CTR_LINK_SILENT, send_nothing);
	check_closed_and_counted(CTR_LINK_SILENT, send_half_a_frame);
	check_closed_and_counted(CTR_LINK_SILENT, send_only_hello);
}

/* Answers PINGs until END_US; returns their number. */
static u32 raw_answer_pings(int fd, u64 end_us)
{
	u32 pings = 0;

	while (loop_clock_us() < end_us) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		u64 sent_us;

		if (poll(&p, 1, 20) <= 0 || raw_read_frame(fd, &sent_us) != LINK_PING)
			continue;
		raw_send_pong(fd, sent_us);
		pings++;
	}
	return pings;
}

/* A process has thousands of links, most of them idle: frequent PINGs would take bandwidth. */
static void test_idle_ping_back_off(void)
{
	struct end e;
	u64 start_us;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	wait_for(&e.ups, 1);
	start_us = loop_clock_us();
	/* PINGs are due after 0.5, 1, 2 and 4 s, each up to one interval late. */
	g_assert_cmpuint(raw_answer_pings(fd, start_us + 5 * US_PER_S), <=, 4);
	raw_send_text(fd);
	wait_for(&e.frames, 1);
	/* After a frame the interval is reset to its minimum. */
	g_assert_cmpuint(raw_answer_pings(fd, loop_clock_us() + 1200 * US_PER_MS), >=, 1);
	close(fd);
	stop(&e);
}

/* Silence of the other end of an idle link is detected after the next PING. */
static void test_silence_when_idle(void)
{
	struct end e;
	u64 silent_us;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	wait_for(&e.ups, 1);
	raw_answer_pings(fd, loop_clock_us() + 1800 * US_PER_MS);
	silent_us = loop_clock_us();
	wait_for(&e.downs, 1);
	g_assert_cmpint(e.err, ==, ERR_TIMEOUT);
	g_assert_cmpuint(loop_clock_us() - silent_us, <, LINK_PING_INTERVAL_MAX_US);
	close(fd);
	stop(&e);
}

/* The other end goes silent after the link is up, like a stopped process. */
static void test_silence_when_up(void)
{
	struct end e;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	wait_for(&e.downs, 1);
	g_assert_cmpint(e.err, ==, ERR_TIMEOUT);
	close(fd);
	stop(&e);
}

/* After the owner closes the link, it gets no further frames of the same read. */
static void test_close_in_handler(void)
{
	struct end e;
	int fd;

	start_listener(&e);
	e.closes_in_frame = true;
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	raw_send_texts(fd, 10);
	wait_for(&e.frames, 1);
	assert_closed(fd);
	stop(&e);
	g_assert_cmpint(e.frames, ==, 1);
	g_assert_cmpint(e.downs, ==, 0);
}

/* A listener whose backlog is full does not answer a SYN. */
static void test_connect_timeout(void)
{
	struct end e;
	int fillers[8];
	gint64 took_us;
	gint64 began;
	u16 port;
	int fd = raw_listen(&port);

	listen(fd, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		fillers[i] = raw_connect_async(port);
	start(&e);
	e.port = port;
	began = g_get_monotonic_time();
	loop_call(e.loop, do_dial, &e);
	g_assert_true(link_is_connecting(e.link));
	wait_for(&e.downs, 1);
	took_us = g_get_monotonic_time() - began;
	g_assert_cmpint(took_us, >=, LINK_CONNECT_TIMEOUT_MIN_US);
	g_assert_cmpint(took_us, <, LINK_CONNECT_TIMEOUT_MAX_US + LINK_PING_INTERVAL_MIN_US);
	g_assert_cmpint(e.err, ==, ERR_TIMEOUT);
	g_assert_cmpint(e.ups, ==, 0);
	stop(&e);
	for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++)
		close(fillers[i]);
	close(fd);
}

static void test_connect_refused(void)
{
	struct end e;
	int fd;

	start(&e);
	fd = raw_listen(&e.port);
	close(fd);
	loop_call(e.loop, do_dial, &e);
	wait_for(&e.downs, 1);
	g_assert_cmpint(e.err, ==, ERR_REFUSED);
	stop(&e);
}

static void fill_queue(void *arg)
{
	static char block[512 * 1024];
	struct end *e = arg;
	int err = 0;

	for (u32 i = 0; !err; i++) {
		FRAME_AUTO(f, TYPE_TEXT);

		g_assert_cmpuint(i, <, 2 * LINK_SEND_QUEUE_MAX_BYTES / sizeof(block));
		frame_put_bin(&f, block, sizeof(block));
		err = link_send(e->link, &f);
		g_assert_cmpuint(link_queued_bytes(e->link), <=, LINK_SEND_QUEUE_MAX_BYTES);
	}
	g_assert_cmpint(err, ==, ERR_BUSY);
}

/* If the other end does not read, the queue is bounded and a dropped frame closes the link. */
static void test_queue_is_bounded(void)
{
	struct end e;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	raw_handshake(fd, 0);
	wait_for(&e.ups, 1);
	loop_call(e.loop, fill_queue, &e);
	wait_for(&e.downs, 1);
	g_assert_cmpint(e.err, ==, ERR_BUSY);
	close(fd);
	stop(&e);
}

#define ENDING_FRAMES 4

/* The frames don't fit into the socket's buffers; bytes of the other end are unread meanwhile. */
static void send_and_end(void *arg)
{
	static char block[2 * 1024 * 1024];
	struct end *e = arg;
	FRAME_AUTO(late, TYPE_TEXT);

	raw_send_texts(e->raw_fd, 3);
	for (u32 i = 0; i < ENDING_FRAMES; i++) {
		FRAME_AUTO(f, TYPE_TEXT);

		frame_put_bin(&f, block, sizeof(block));
		g_assert_cmpint(link_send(e->link, &f), ==, 0);
	}
	e->queued_bytes = ENDING_FRAMES * sizeof(block);
	link_end_sending(e->link);
	g_assert_cmpint(link_send(e->link, &late), ==, ERR_CLOSED);
}

/*
 * Guards against: the last replies of a process that leaves are lost, as its link is closed while
 * bytes of the other end are unread, which resets the connection.
 */
static void test_last_frames_lost_by_a_reset(void)
{
	struct end e;
	char buf[65536];
	size_t got = 0;
	ssize_t n;

	start_listener(&e);
	e.raw_fd = raw_connect(e.port);
	raw_handshake(e.raw_fd, 0);
	wait_for(&e.ups, 1);
	loop_call(e.loop, send_and_end, &e);
	while ((n = recv(e.raw_fd, buf, sizeof(buf), 0)) > 0) {
		got += (size_t)n;
		g_usleep(US_PER_MS / 10);
	}
	g_assert_cmpint(n, ==, 0);
	g_assert_cmpuint(got, >, e.queued_bytes);
	close(e.raw_fd);
	wait_for(&e.downs, 1);
	stop(&e);
}

static void convert_to_local(void *arg)
{
	struct end *e = arg;

	e->local_us = (i64)link_to_local_us(e->link, e->remote_us);
}

/*
 * A deadline from a machine with another clock is never converted to a later
 * time, even if the first PONG was slow, and is early by at most the RTT.
 */
static void check_deadline(u64 delay_us)
{
	u64 deadline_us = loop_clock_us() + 5 * US_PER_S;
	struct end e;
	int fd;

	start_listener(&e);
	fd = raw_connect(e.port);
	raw_handshake(fd, delay_us);
	wait_for(&e.ups, 1);
	e.remote_us = deadline_us + REMOTE_CLOCK_OFFSET_US;
	loop_call(e.loop, convert_to_local, &e);
	g_assert_cmpint(e.local_us, <=, deadline_us);
	g_assert_cmpint(e.local_us, >=, deadline_us - e.link->rtt_us);
	e.remote_us = 1;
	loop_call(e.loop, convert_to_local, &e);
	g_assert_cmpint(e.local_us, ==, 0);
	close(fd);
	wait_for(&e.downs, 1);
	stop(&e);
}

static void test_deadline(void)
{
	check_deadline(0);
	check_deadline(200 * US_PER_MS);
}

#define BULK_BYTES (1000 * 1000)
#define NARROW_BYTES_PER_S (2000000 / 8)
/* Nodes take a peer for silent after 450 ms. */
#define BULK_SILENCE_MAX_US (400 * US_PER_MS)

static void do_send_bulk(void *arg)
{
	struct end *e = arg;
	g_autofree char *bytes = g_malloc0(BULK_BYTES);
	FRAME_AUTO(f, TYPE_TEXT);

	frame_put_bin(&f, bytes, BULK_BYTES);
	g_assert_cmpint(link_send(e->link, &f), ==, 0);
}

static void do_measure_silence(void *arg)
{
	struct end *e = arg;

	if (e->link)
		e->silence_us = MAX(e->silence_us, link_silence_us(e->link, loop_clock_us()));
}

/*
 * Guards against: an end that sends a long frame over a narrow link takes the other one, which
 * receives it, for silent, and closes the link.
 */
static void test_bulk_taken_for_silence(void)
{
	static struct paced_link narrow = { .bytes_per_s = NARROW_BYTES_PER_S };
	struct end a;
	struct end b;

	start_listener(&a);
	start(&b);
	b.port = paced_relay_start(&narrow, a.port);
	loop_call(b.loop, do_dial, &b);
	wait_for(&a.ups, 1);
	wait_for(&b.ups, 1);
	loop_call(a.loop, do_send_bulk, &a);
	while (!g_atomic_int_get(&b.frames) && !g_atomic_int_get(&a.downs)) {
		g_usleep(20 * US_PER_MS);
		loop_call(a.loop, do_measure_silence, &a);
	}
	g_assert_cmpint(a.err, ==, 0);
	g_assert_cmpint(g_atomic_int_get(&b.frames), ==, 1);
	g_assert_cmpuint(a.silence_us, <, BULK_SILENCE_MAX_US);
	stop(&b);
	stop(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_open(NULL, LOG_ERROR, LOG_TEXT);
	g_test_add_func("/link/up", test_link_comes_up);
	g_test_add_func("/link/bad-frames", test_bad_frames);
	g_test_add_func("/link/silence", test_silence);
	g_test_add_func("/link/silence-when-up", test_silence_when_up);
	g_test_add_func("/link/idle-ping-back-off", test_idle_ping_back_off);
	g_test_add_func("/link/silence-when-idle", test_silence_when_idle);
	g_test_add_func("/link/close-in-handler", test_close_in_handler);
	g_test_add_func("/link/connect-timeout", test_connect_timeout);
	g_test_add_func("/link/connect-refused", test_connect_refused);
	g_test_add_func("/link/queue-is-bounded", test_queue_is_bounded);
	g_test_add_func("/link/deadline", test_deadline);
	g_test_add_func("/link/bulk-taken-for-silence", test_bulk_taken_for_silence);
	g_test_add_func("/link/last-frames-lost-by-a-reset", test_last_frames_lost_by_a_reset);
	return g_test_run();
}
