#include "lib/thread.h"

#include <pthread.h>

void thread_set_stacks(void)
{
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}
