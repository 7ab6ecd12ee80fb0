#include "wire/config_part.h"

#include "lib/err.h"

#include <xxhash.h>

bool config_stream_id_equal(const struct config_stream_id *a, const struct config_stream_id *b)
{
	return a->from == b->from && a->to == b->to && a->checksum == b->checksum;
}

static void put_stream(struct frame_out *f, const struct config_stream_id *id)
{
	frame_put_u64(f, id->from);
	frame_put_u64(f, id->to);
	frame_put_u64(f, id->checksum);
}

static void get_stream(struct frame_in *in, struct config_stream_id *id)
{
	id->from = frame_get_u64(in);
	id->to = frame_get_u64(in);
	id->checksum = frame_get_u64(in);
}

void config_request_put(struct frame_out *f, const struct config_request *r)
{
	frame_put_u64(f, r->number);
	frame_put_u64(f, r->revision);
	put_stream(f, &r->stream);
	frame_put_u64(f, r->received);
}

int config_request_get(struct frame_in *in, struct config_request *r)
{
	r->number = frame_get_u64(in);
	r->revision = frame_get_u64(in);
	get_stream(in, &r->stream);
	r->received = frame_get_u64(in);
	return frame_done(in);
}

/* The stream and the place in it are part of the checksum, so that no bytes of another one fit. */
static u64 part_checksum(const struct config_part *p)
{
	return XXH64(p->bytes, p->len, p->stream.checksum + p->offset);
}

void config_part_put(struct frame_out *f, const struct config_part *p)
{
	frame_put_u64(f, p->request);
	put_stream(f, &p->stream);
	frame_put_u64(f, p->total);
	frame_put_u64(f, p->offset);
	frame_put_u64(f, part_checksum(p));
	frame_put_bin(f, p->bytes, p->len);
}

int config_part_get(struct frame_in *in, struct config_part *p)
{
	u64 checksum;

	p->request = frame_get_u64(in);
	get_stream(in, &p->stream);
	p->total = frame_get_u64(in);
	p->offset = frame_get_u64(in);
	checksum = frame_get_u64(in);
	p->bytes = frame_get_bin(in, &p->len);
	if (frame_done(in) || p->total > CONFIG_STREAM_MAX_BYTES || p->offset >= p->total)
		return ERR_INVAL;
	if (!p->len || p->len > p->total - p->offset)
		return ERR_INVAL;
	return checksum == part_checksum(p) ? 0 : ERR_INVAL;
}
