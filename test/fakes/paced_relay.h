/*
 * paced_relay - TCP relays in front of one narrow link
 *
 * All bytes from the targets share one rate, as on the link of a VM; bytes towards the targets are
 * not paced. Bytes wait in the buffers of the sockets, so a message waits behind all that was
 * written before it. A delay stands for a queue of others' bytes at the link that does not end.
 *
 * SOURCE test/fakes/paced_relay.c
 */
#ifndef PACED_RELAY_H
#define PACED_RELAY_H

#include "lib/types.h"

#include <glib.h>

struct paced_link {
	GMutex lock;
	u64 bytes_per_s;
	gint delay_us; /* of all bytes, beside the rate; may change at any time */
	u64 free_at_us; /* when the last byte that was given to the link is through */
	gint bytes; /* relayed so far */
	gint bytes_back; /* the same towards the targets */
};

/* paced_relay_start - relays a port, which is returned, to TARGET over LINK, for ever. */
u16 paced_relay_start(struct paced_link *link, u16 target);

#endif
