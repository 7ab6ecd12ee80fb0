/*
 * loop - an event loop on one thread: file descriptors, timers, posted calls
 *
 * Everything but loop_post, loop_new, loop_start and loop_stop is called on
 * the loop's own thread, or before loop_start.
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

/* loop_clock_us - monotonic time in microseconds; runs on while the VM is suspended. */
u64 loop_clock_us(void);

/* loop_wall_clock_us - microseconds since 1970; grows over restarts, so it serves as incarnation.
 */
u64 loop_wall_clock_us(void);

struct loop *loop_new(const char *name);
int loop_start(struct loop *l);

/* loop_stop - run the calls already posted, then end and join the thread. */
void loop_stop(struct loop *l);
void loop_free(struct loop *l);

/* loop_post - call FN(ARG) on the loop's thread; any thread, in order. */
void loop_post(struct loop *l, void (*fn)(void *arg), void *arg);

/* loop_call - as loop_post, and wait until FN has returned; not from the loop's own thread. */
void loop_call(struct loop *l, void (*fn)(void *arg), void *arg);

/* loop_timer_set - fire once at DUE_US; a timer that is set already is moved. */
void loop_timer_set(struct loop *l, struct loop_timer *t, u64 due_us);
void loop_timer_cancel(struct loop *l, struct loop_timer *t);

int loop_fd_add(struct loop *l, struct loop_fd *f, u32 events);
int loop_fd_change(struct loop *l, struct loop_fd *f, u32 events);

/* loop_fd_remove - no more calls for F, also none that were collected before. */
void loop_fd_remove(struct loop *l, struct loop_fd *f);

#endif
