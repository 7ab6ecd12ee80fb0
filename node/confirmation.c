#include "node/confirmation.h"

#include <glib.h>

void confirmation_add(struct confirmation *c, u64 revision, u64 at_us)
{
	c->reports[c->next] = (struct confirmation_report){ revision, at_us };
	c->next = (c->next + 1) % CONFIRMATION_REPORTS;
}

u64 confirmation_us(struct confirmation *c, u64 in_force)
{
	for (u32 i = 0; i < CONFIRMATION_REPORTS; i++)
		if (c->reports[i].revision <= in_force)
			c->confirmed_us = MAX(c->confirmed_us, c->reports[i].at_us);
	return c->confirmed_us;
}
