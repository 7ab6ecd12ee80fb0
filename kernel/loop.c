#include "kernel/loop.h"

#include "lib/clock.h"
#include "lib/err.h"
#include "lib/thread.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LOOP_EVENTS_MAX 64
#define LOOP_WAIT_MAX_MS 1000
/*
 * A turn that is this late, or takes this long, means that the process was frozen or a handler was
 * slow. What arrived meanwhile is then read before timers fire, for a limited time, since it may be
 * what a call or a link waits for until such a timer.
 */
#define LOOP_LATE_US (50 * US_PER_MS)
#define LOOP_CATCH_UP_MAX_US (50 * US_PER_MS)

struct posted {
	void (*fn)(void *arg);
	void *arg;
};

struct loop {
	char *name;
	int epoll_fd;
	int wake_fd;
	pthread_t thread;
	bool is_running;
	bool must_stop;
	pthread_mutex_t lock; /* protects queue */
	GArray *queue; /* of struct posted */
	GTree *timers; /* of struct loop_timer, ordered by due time */
	struct epoll_event events[LOOP_EVENTS_MAX];
	int nevents;
	u64 turn_us; /* when the current turn began, or should have begun if it was late */
};

u64 loop_clock_us(void)
{
	return clock_us(CLOCK_BOOTTIME);
}

u64 loop_wall_clock_us(void)
{
	return clock_us(CLOCK_REALTIME);
}

static gint timer_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct loop_timer *x = a;
	const struct loop_timer *y = b;

	(void)unused;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	if (x == y)
		return 0;
	return x < y ? -1 : 1;
}

struct loop *loop_new(const char *name)
{
	struct loop *l = g_new0(struct loop, 1);
	struct epoll_event ev = { .events = EPOLLIN, .data.ptr = NULL };

	l->name = g_strdup(name);
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (l->epoll_fd < 0 || l->wake_fd < 0)
		g_error("cannot create an event loop: %s", g_strerror(errno));
	pthread_mutex_init(&l->lock, NULL);
	l->queue = g_array_new(FALSE, FALSE, sizeof(struct posted));
	l->timers = g_tree_new_full(timer_cmp, NULL, NULL, NULL);
	epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->wake_fd, &ev);
	return l;
}

void loop_free(struct loop *l)
{
	close(l->epoll_fd);
	close(l->wake_fd);
	g_array_unref(l->queue);
	g_tree_destroy(l->timers);
	pthread_mutex_destroy(&l->lock);
	g_free(l->name);
	g_free(l);
}

static bool has_posted(struct loop *l)
{
	bool ret;

	pthread_mutex_lock(&l->lock);
	ret = l->queue->len > 0;
	pthread_mutex_unlock(&l->lock);
	return ret;
}

static void run_posted(struct loop *l)
{
	GArray *empty = g_array_new(FALSE, FALSE, sizeof(struct posted));
	GArray *batch;

	pthread_mutex_lock(&l->lock);
	batch = l->queue;
	l->queue = empty;
	pthread_mutex_unlock(&l->lock);
	for (guint i = 0; i < batch->len; i++) {
		struct posted *p = &g_array_index(batch, struct posted, i);

		p->fn(p->arg);
	}
	g_array_unref(batch);
}

static struct loop_timer *first_timer(struct loop *l)
{
	GTreeNode *node = g_tree_node_first(l->timers);

	return node ? g_tree_node_key(node) : NULL;
}

static void run_timers(struct loop *l)
{
	u64 now = loop_clock_us();
	struct loop_timer *t;

	while ((t = first_timer(l)) && t->due_us <= now) {
		loop_timer_cancel(l, t);
		t->fire(t->arg, now);
	}
}

static int poll_timeout_ms(struct loop *l)
{
	struct loop_timer *t = first_timer(l);
	u64 now = loop_clock_us();
	u64 ms;

	if (!t)
		return LOOP_WAIT_MAX_MS;
	if (t->due_us <= now)
		return 0;
	ms = (t->due_us - now + US_PER_MS - 1) / US_PER_MS;
	return ms < LOOP_WAIT_MAX_MS ? (int)ms : LOOP_WAIT_MAX_MS;
}

static void drain_wake_fd(struct loop *l)
{
	u64 count;

	while (read(l->wake_fd, &count, sizeof(count)) > 0)
		;
}

static void poll_fds(struct loop *l, int timeout_ms)
{
	l->nevents = epoll_wait(l->epoll_fd, l->events, LOOP_EVENTS_MAX, timeout_ms);
	drain_wake_fd(l);
}

static void run_fds(struct loop *l)
{
	for (int i = 0; i < l->nevents; i++) {
		struct loop_fd *f = l->events[i].data.ptr;

		if (f)
			f->ready(f->arg, l->events[i].events);
	}
	l->nevents = 0;
}

/* If the loop is late, reads what has arrived. */
static void catch_up(struct loop *l)
{
	u64 began_us = loop_clock_us();
	u64 now = began_us;

	while (now > l->turn_us + LOOP_LATE_US && now < began_us + LOOP_CATCH_UP_MAX_US) {
		poll_fds(l, 0);
		if (l->nevents <= 0)
			return;
		run_fds(l);
		now = loop_clock_us();
	}
}

static void run_turn(struct loop *l)
{
	int timeout_ms = poll_timeout_ms(l);
	u64 latest_us = loop_clock_us() + (u64)timeout_ms * US_PER_MS;

	poll_fds(l, timeout_ms);
	l->turn_us = MIN(loop_clock_us(), latest_us);
	run_fds(l);
	/* A signal that ends the wait, as when a stopped process continues, hides what is ready. */
	catch_up(l);
	run_posted(l);
	catch_up(l);
	/* Its wake-up may have been read while catching up. */
	if (has_posted(l))
		run_posted(l);
	run_timers(l);
}

static void *loop_main(void *arg)
{
	struct loop *l = arg;

	while (!__atomic_load_n(&l->must_stop, __ATOMIC_ACQUIRE))
		run_turn(l);
	while (has_posted(l))
		run_posted(l);
	return NULL;
}

int loop_start(struct loop *l)
{
	if (thread_start(&l->thread, loop_main, l))
		return ERR_IO;
	l->is_running = true;
	return 0;
}

static void wake_up(struct loop *l)
{
	u64 one = 1;

	if (write(l->wake_fd, &one, sizeof(one)) < 0)
		return; /* the counter is at its maximum, so the loop will wake up anyway */
}

void loop_stop(struct loop *l)
{
	if (!l->is_running)
		return;
	__atomic_store_n(&l->must_stop, true, __ATOMIC_RELEASE);
	wake_up(l);
	pthread_join(l->thread, NULL);
	l->is_running = false;
}

void loop_post(struct loop *l, void (*fn)(void *arg), void *arg)
{
	struct posted p = { .fn = fn, .arg = arg };

	pthread_mutex_lock(&l->lock);
	g_array_append_val(l->queue, p);
	pthread_mutex_unlock(&l->lock);
	wake_up(l);
}

struct sync_call {
	void (*fn)(void *arg);
	void *arg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool is_done;
};

static void run_sync_call(void *arg)
{
	struct sync_call *c = arg;

	c->fn(c->arg);
	pthread_mutex_lock(&c->lock);
	c->is_done = true;
	pthread_cond_signal(&c->done_cond);
	pthread_mutex_unlock(&c->lock);
}

void loop_call(struct loop *l, void (*fn)(void *arg), void *arg)
{
	struct sync_call c = { .fn = fn, .arg = arg };

	pthread_mutex_init(&c.lock, NULL);
	pthread_cond_init(&c.done_cond, NULL);
	loop_post(l, run_sync_call, &c);
	pthread_mutex_lock(&c.lock);
	while (!c.is_done)
		pthread_cond_wait(&c.done_cond, &c.lock);
	pthread_mutex_unlock(&c.lock);
	pthread_cond_destroy(&c.done_cond);
	pthread_mutex_destroy(&c.lock);
}

void loop_timer_set(struct loop *l, struct loop_timer *t, u64 due_us)
{
	loop_timer_cancel(l, t);
	t->due_us = due_us;
	t->is_set = true;
	g_tree_insert(l->timers, t, t);
}

void loop_timer_cancel(struct loop *l, struct loop_timer *t)
{
	if (!t->is_set)
		return;
	g_tree_remove(l->timers, t);
	t->is_set = false;
}

int loop_fd_add(struct loop *l, struct loop_fd *f, u32 events)
{
	struct epoll_event ev = { .events = events, .data.ptr = f };

	return epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, f->fd, &ev) ? ERR_IO : 0;
}

int loop_fd_change(struct loop *l, struct loop_fd *f, u32 events)
{
	struct epoll_event ev = { .events = events, .data.ptr = f };

	return epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, f->fd, &ev) ? ERR_IO : 0;
}

void loop_fd_remove(struct loop *l, struct loop_fd *f)
{
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, f->fd, NULL);
	for (int i = 0; i < l->nevents; i++)
		if (l->events[i].data.ptr == f)
			l->events[i].data.ptr = NULL;
}
