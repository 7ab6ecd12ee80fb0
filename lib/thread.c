#include "lib/thread.h"

#include "lib/err.h"

int thread_start(pthread_t *thread, void *(*run)(void *arg), void *arg)
{
	pthread_attr_t attr;
	int err;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	err = pthread_create(thread, &attr, run, arg);
	pthread_attr_destroy(&attr);
	return err ? ERR_IO : 0;
}
