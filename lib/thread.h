/*
 * thread - the stack of the threads of a process
 *
 * UNITS bytes
 * SOURCE lib/thread.c
 */
#ifndef THREAD_H
#define THREAD_H

/*
 * Of each thread but the first. The C library's default, 8 MB for each server thread, would count
 * against the memory of a node.
 */
#define THREAD_STACK_BYTES (256 * 1024)

/* thread_set_stacks - gives threads that start from now on, also in libraries, this stack. */
void thread_set_stacks(void);

#endif
