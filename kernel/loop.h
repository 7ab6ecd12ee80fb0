/*
 * loop - a single-threaded event loop: file descriptors, timers, posted functions
 *
 * After a pause, as of a process that was stopped and continues, descriptors that are ready come
 * before the timers that became due meanwhile.
 *
 * All functions except loop_new, loop_start, loop_stop, loop_free, loop_post and
 * loop_call must be called on the loop's own thread, or before loop_start.
 *
 * SOURCE kernel/loop.c
 */
#ifndef LOOP_H
#define LOOP_H

#include "lib/types.h"

struct loop;

struct loop_timer {
	void (*fire)(void *arg, u64 now_us);
	void *arg;
	u64 due_us;
	bool is_set;
};

struct loop_fd {
	void (*ready)(void *arg, u32 events); /* events: EPOLLIN, EPOLLOUT, ... */
	void *arg;
	int fd;
};

/* loop_clock_us - returns monotonic time in microseconds, including time the VM is suspended. */
u64 loop_clock_us(void);

/*
 * loop_wall_clock_us - returns microseconds since 1970. The value increases across
 * restarts, so a process uses it as its incarnation.
 */
u64 loop_wall_clock_us(void);

struct loop *loop_new(const char *name);
int loop_start(struct loop *l);

/* loop_stop - runs the functions already posted, then ends and joins the thread. */
void loop_stop(struct loop *l);
void loop_free(struct loop *l);

/* loop_post - queues FN(ARG) to run on the loop's thread, in order; callable from any thread. */
void loop_post(struct loop *l, void (*fn)(void *arg), void *arg);

/* loop_call - like loop_post, but waits until FN has returned; not on the loop's own thread. */
void loop_call(struct loop *l, void (*fn)(void *arg), void *arg);

/* loop_timer_set - makes T fire once at DUE_US; replaces the time of a pending timer. */
void loop_timer_set(struct loop *l, struct loop_timer *t, u64 due_us);
void loop_timer_cancel(struct loop *l, struct loop_timer *t);

int loop_fd_add(struct loop *l, struct loop_fd *f, u32 events);
int loop_fd_change(struct loop *l, struct loop_fd *f, u32 events);

/* loop_fd_remove - stops all calls for F, including events that were already polled. */
void loop_fd_remove(struct loop *l, struct loop_fd *f);

#endif
