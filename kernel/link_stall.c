/* Ends of links that send but do not read. */
#include "kernel/link_impl.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

/* Returns the bytes that the other end has acknowledged. */
static u64 taken_bytes(const struct link_private *p)
{
	int waiting = 0;

	if (ioctl(p->fd.fd, SIOCOUTQ, &waiting))
		return p->sent_bytes;
	return p->sent_bytes - MIN((u64)waiting, p->sent_bytes);
}

bool link_is_stalled(struct link_private *p, u64 now_us)
{
	u64 taken;

	if (p->is_connecting || p->out_off == p->out->len) {
		p->taken_us = now_us;
		return false;
	}
	taken = taken_bytes(p);
	if (taken != p->taken_bytes) {
		p->taken_bytes = taken;
		p->taken_us = now_us;
	}
	return now_us > p->taken_us + LINK_STALL_TIMEOUT_US;
}
