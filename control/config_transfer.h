/*
 * config_transfer - the transfer of one configuration stream to one node
 *
 * Only a window of bytes beyond those that the node has acknowledged is on its way, so that the
 * freshness reports and other messages wait behind no more than that. A transfer under way is
 * finished when the configuration changes meanwhile; the difference follows. So a node comes
 * forward however often the configuration changes.
 *
 * SOURCE control/config_transfer.c
 */
#ifndef CONFIG_TRANSFER_H
#define CONFIG_TRANSFER_H

#include "control/config_stream.h"
#include "control/config_window.h"
#include "kernel/link.h"

struct config_transfer {
	struct config_stream *stream; /* NULL: none is under way */
	u64 request;
	u32 start; /* offset that it began from: what a node has that resumes the stream, else 0 */
	u32 sent; /* offset of the next byte to send; both begin at START */
	u32 acknowledged; /* offset of the first byte that the node has not acknowledged */
	u64 start_us;
	struct config_window window;
};

/* config_transfer_start - starts to send STREAM from OFFSET on; takes over the reference. */
void config_transfer_start(struct config_transfer *t, struct config_stream *stream, u64 offset,
			   u64 request, u64 now_us);

/* config_transfer_send - sends what the window allows; send errors end with the link. */
void config_transfer_send(struct config_transfer *t, struct link *k, u64 now_us);

/*
 * config_transfer_acknowledge - the node has RECEIVED bytes of the stream of REQUEST. Returns 0, or
 * ERR_INVAL if it can't have. An acknowledgement of an earlier request is ignored.
 */
int config_transfer_acknowledge(struct config_transfer *t, u64 request, u64 received, u64 now_us);
bool config_transfer_is_complete(const struct config_transfer *t);
void config_transfer_clear(struct config_transfer *t);

#endif
