/* Tests the event loop: timers, posted functions, file descriptors. */
#include "kernel/loop.h"

#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define THREADS 4
#define POSTS 2000

static void start(struct loop **l)
{
	*l = loop_new("test");
	g_assert_cmpint(loop_start(*l), ==, 0);
}

static void stop(struct loop *l)
{
	loop_stop(l);
	loop_free(l);
}

struct poster {
	struct loop *loop;
	u32 sent;
	u32 next; /* number of the next post in order; used on the loop's thread only */
	u32 out_of_order;
};

struct post {
	struct poster *poster;
	u32 number;
};

static void run_post(void *arg)
{
	struct post *p = arg;

	p->poster->out_of_order += p->number != p->poster->next;
	p->poster->next = p->number + 1;
	g_free(p);
}

static gpointer post_main(gpointer arg)
{
	struct poster *poster = arg;

	for (u32 i = 0; i < POSTS; i++) {
		struct post *p = g_new0(struct post, 1);

		p->poster = poster;
		p->number = i;
		loop_post(poster->loop, run_post, p);
	}
	return NULL;
}

/* Functions posted by a thread run in order, and all run even if the loop stops right after. */
static void test_posts(void)
{
	struct poster posters[THREADS] = { 0 };
	GThread *threads[THREADS];
	struct loop *l;

	start(&l);
	for (u32 i = 0; i < THREADS; i++) {
		posters[i].loop = l;
		threads[i] = g_thread_new("poster", post_main, &posters[i]);
	}
	for (u32 i = 0; i < THREADS; i++)
		g_thread_join(threads[i]);
	stop(l);
	for (u32 i = 0; i < THREADS; i++) {
		g_assert_cmpuint(posters[i].next, ==, POSTS);
		g_assert_cmpuint(posters[i].out_of_order, ==, 0);
	}
}

struct chain {
	struct loop *loop;
	u32 remaining;
};

static void post_next(void *arg)
{
	struct chain *c = arg;

	if (c->remaining && --c->remaining)
		loop_post(c->loop, post_next, c);
}

/* Functions posted by the last functions before the stop still run; links are freed this way. */
static void test_posts_of_posts(void)
{
	struct chain c = { .remaining = 5 };

	start(&c.loop);
	loop_post(c.loop, post_next, &c);
	stop(c.loop);
	g_assert_cmpuint(c.remaining, ==, 0);
}

struct timers {
	struct loop *loop;
	struct loop_timer t[4];
	GString *fired;
	gint count;
};

static void fire(struct timers *s, char name)
{
	g_string_append_c(s->fired, name);
	g_atomic_int_inc(&s->count);
}

/* Delays the second timer past the third, and cancels the fourth. */
static void fire_a(void *arg, u64 now_us)
{
	struct timers *s = arg;

	fire(s, 'a');
	loop_timer_set(s->loop, &s->t[1], now_us + 40 * US_PER_MS);
	loop_timer_cancel(s->loop, &s->t[3]);
}

static void fire_b(void *arg, u64 now_us)
{
	(void)now_us;
	fire(arg, 'b');
}

static void fire_c(void *arg, u64 now_us)
{
	(void)now_us;
	fire(arg, 'c');
}

static void fire_d(void *arg, u64 now_us)
{
	(void)now_us;
	fire(arg, 'd');
}

static void set_timers(void *arg)
{
	struct timers *s = arg;
	u64 now = loop_clock_us();
	/* All are due in the same iteration, so fire_a changes timers that are already due. */
	u64 due[] = { now - 4, now - 3, now - 2, now - 1 };
	void (*handlers[])(void *arg, u64 now_us) = { fire_a, fire_b, fire_c, fire_d };

	for (size_t i = 0; i < G_N_ELEMENTS(s->t); i++) {
		s->t[i] = (struct loop_timer){ .fire = handlers[i], .arg = s };
		loop_timer_set(s->loop, &s->t[i], due[i]);
	}
}

static void test_timers(void)
{
	struct timers s = { .fired = g_string_new(NULL) };

	start(&s.loop);
	loop_call(s.loop, set_timers, &s);
	for (u32 i = 0; i < 10000 && g_atomic_int_get(&s.count) < 3; i++)
		g_usleep(US_PER_MS);
	stop(s.loop);
	g_assert_cmpstr(s.fired->str, ==, "acb");
	g_string_free(s.fired, TRUE);
}

struct pair {
	struct loop *loop;
	struct loop_fd fds[2];
	int peers[2];
	gint ready;
};

/* The first event removes both descriptors; epoll may have returned the other's event already. */
static void on_ready(void *arg, u32 events)
{
	struct pair *p = arg;

	(void)events;
	g_atomic_int_inc(&p->ready);
	for (u32 i = 0; i < 2; i++)
		loop_fd_remove(p->loop, &p->fds[i]);
	/* Makes a call for a removed descriptor crash. */
	memset(p->fds, 0xff, sizeof(p->fds));
}

static void add_both(void *arg)
{
	struct pair *p = arg;

	for (u32 i = 0; i < 2; i++) {
		int ends[2];

		g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
		p->peers[i] = ends[1];
		p->fds[i] = (struct loop_fd){ .ready = on_ready, .arg = p, .fd = ends[0] };
		g_assert_cmpint(write(ends[1], "x", 1), ==, 1);
		g_assert_cmpint(loop_fd_add(p->loop, &p->fds[i], EPOLLIN), ==, 0);
	}
}

static void do_nothing(void *arg)
{
	(void)arg;
}

static void test_removed_descriptor(void)
{
	struct pair p = { 0 };

	start(&p.loop);
	loop_call(p.loop, add_both, &p);
	for (u32 i = 0; i < 3; i++)
		loop_call(p.loop, do_nothing, NULL);
	stop(p.loop);
	g_assert_cmpint(p.ready, ==, 1);
	for (u32 i = 0; i < 2; i++)
		close(p.peers[i]);
}

#define STALL_US (200 * US_PER_MS)
#define STALL_DESCRIPTORS 200 /* more than the loop takes from epoll at once */

struct stall {
	struct loop *loop;
	struct loop_timer timer;
	struct loop_fd fds[STALL_DESCRIPTORS];
	int peers[STALL_DESCRIPTORS];
	u32 nread;
	gint has_fired;
	u32 nread_at_timer; /* descriptors that were read before the timer fired */
};

struct stall_fd {
	struct stall *stall;
	struct loop_fd *fd;
};

static void read_byte(void *arg, u32 events)
{
	struct stall_fd *s = arg;
	char byte;

	(void)events;
	if (recv(s->fd->fd, &byte, 1, 0) == 1)
		s->stall->nread++;
}

static void note_timer(void *arg, u64 now_us)
{
	struct stall *s = arg;

	(void)now_us;
	s->nread_at_timer = s->nread;
	g_atomic_int_set(&s->has_fired, 1);
}

/* Keeps the loop from running; meanwhile bytes arrive and then a timer becomes due. */
static void stall_loop(void *arg)
{
	struct stall *s = arg;

	loop_timer_set(s->loop, &s->timer, loop_clock_us() + STALL_US / 2);
	for (u32 i = 0; i < STALL_DESCRIPTORS; i++)
		g_assert_cmpint(write(s->peers[i], "x", 1), ==, 1);
	g_usleep(STALL_US);
}

/*
 * Guards against: a timer that became due while the process was frozen ends a call or a link
 * although the answer that it waits for has arrived and was not read.
 */
static void test_late_timer_before_what_arrived(void)
{
	struct stall s = { 0 };
	struct stall_fd args[STALL_DESCRIPTORS];

	s.loop = loop_new("test");
	s.timer = (struct loop_timer){ .fire = note_timer, .arg = &s };
	for (u32 i = 0; i < STALL_DESCRIPTORS; i++) {
		int ends[2];

		g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
		s.peers[i] = ends[1];
		args[i] = (struct stall_fd){ .stall = &s, .fd = &s.fds[i] };
		s.fds[i] = (struct loop_fd){ .ready = read_byte, .arg = &args[i], .fd = ends[0] };
		g_assert_cmpint(loop_fd_add(s.loop, &s.fds[i], EPOLLIN), ==, 0);
	}
	g_assert_cmpint(loop_start(s.loop), ==, 0);
	loop_post(s.loop, stall_loop, &s);
	while (!g_atomic_int_get(&s.has_fired))
		g_usleep(US_PER_MS);
	stop(s.loop);
	g_assert_cmpuint(s.nread_at_timer, ==, STALL_DESCRIPTORS);
	for (u32 i = 0; i < STALL_DESCRIPTORS; i++) {
		close(s.fds[i].fd);
		close(s.peers[i]);
	}
}

struct late_post {
	struct loop *loop;
	gint is_busy;
	gint has_run;
};

static void note_run(void *arg)
{
	g_atomic_int_set(&((struct late_post *)arg)->has_run, 1);
}

static void be_busy(void *arg)
{
	g_atomic_int_set(&((struct late_post *)arg)->is_busy, 1);
	g_usleep(STALL_US);
}

/*
 * Guards against: a function that is posted while the loop is late waits until the loop wakes up
 * for something else, because its wake-up was read together with what had arrived.
 */
static void test_post_to_a_late_loop_waits(void)
{
	struct late_post p = { 0 };
	u64 start_us;

	p.loop = loop_new("test");
	g_assert_cmpint(loop_start(p.loop), ==, 0);
	loop_post(p.loop, be_busy, &p);
	while (!g_atomic_int_get(&p.is_busy))
		g_usleep(US_PER_MS);
	start_us = loop_clock_us();
	loop_post(p.loop, note_run, &p);
	while (!g_atomic_int_get(&p.has_run))
		g_usleep(US_PER_MS);
	g_assert_cmpuint(loop_clock_us() - start_us, <, 3 * STALL_US);
	stop(p.loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop/posts", test_posts);
	g_test_add_func("/loop/posts-of-posts", test_posts_of_posts);
	g_test_add_func("/loop/timers", test_timers);
	g_test_add_func("/loop/removed-descriptor", test_removed_descriptor);
	g_test_add_func("/loop/late-timer-before-what-arrived",
			test_late_timer_before_what_arrived);
	g_test_add_func("/loop/post-to-a-late-loop-waits", test_post_to_a_late_loop_waits);
	return g_test_run();
}
