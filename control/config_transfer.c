#include "control/config_transfer.h"

#include "lib/ctr.h"
#include "lib/err.h"
#include "wire/ctl.h"

void config_transfer_start(struct config_transfer *t, struct config_stream *stream, u64 offset,
			   u64 request, u64 now_us)
{
	config_transfer_clear(t);
	*t = (struct config_transfer){ .stream = stream,
				       .request = request,
				       .sent = (u32)offset,
				       .acknowledged = (u32)offset,
				       .start = (u32)offset,
				       .start_us = now_us };
	config_window_init(&t->window, t->start);
}

static int send_part(struct config_transfer *t, struct link *k, u64 now_us)
{
	const GByteArray *bytes = t->stream->bytes;
	struct config_part p = { .request = t->request,
				 .stream = t->stream->id,
				 .total = bytes->len,
				 .offset = t->sent,
				 .bytes = bytes->data + t->sent,
				 .len = MIN(bytes->len - t->sent, (guint)CONFIG_PART_BYTES) };
	FRAME_AUTO(f, CTL_CONFIG_PART);

	config_part_put(&f, &p);
	t->sent += (u32)p.len;
	config_window_sent(&t->window, t->sent, now_us);
	ctr_add(CTR_CONFIG_SENT_BYTES, p.len);
	return link_send(k, &f);
}

void config_transfer_send(struct config_transfer *t, struct link *k, u64 now_us)
{
	while (t->stream && t->sent < t->stream->bytes->len &&
	       config_window_has_room(&t->window, t->sent - t->acknowledged))
		if (send_part(t, k, now_us))
			return;
}

int config_transfer_acknowledge(struct config_transfer *t, u64 request, u64 received, u64 now_us)
{
	if (!t->stream || request != t->request)
		return 0;
	if (received < t->acknowledged || received > t->sent)
		return ERR_INVAL;
	t->acknowledged = (u32)received;
	config_window_acknowledged(&t->window, t->acknowledged, now_us);
	return 0;
}

bool config_transfer_is_complete(const struct config_transfer *t)
{
	return t->stream && t->acknowledged == t->stream->bytes->len;
}

void config_transfer_clear(struct config_transfer *t)
{
	g_clear_pointer(&t->stream, config_stream_unref);
}
