#include "lib/descriptors.h"

#include <errno.h>
#include <glib.h>
#include <sys/resource.h>

u32 descriptors_part(u32 share)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l) || l.rlim_cur == RLIM_INFINITY)
		return 0;
	return (u32)MIN(MAX(l.rlim_cur / share, 1), UINT32_MAX);
}

bool descriptors_are_used_up(int error)
{
	return error == EMFILE || error == ENFILE;
}
