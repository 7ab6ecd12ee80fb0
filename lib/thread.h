/*
 * thread - threads with a stack of a stated size
 *
 * UNITS bytes
 * ERRORS negative error numbers
 * SOURCE lib/thread.c
 */
#ifndef THREAD_H
#define THREAD_H

#include <pthread.h>

/*
 * Of each thread but the first. The C library's default, 8 MB for each server thread, would count
 * against the memory of a node.
 */
#define THREAD_STACK_BYTES (256 * 1024)

/* thread_start - starts a thread with this stack. Returns 0 or ERR_IO. */
int thread_start(pthread_t *thread, void *(*run)(void *arg), void *arg);

#endif
