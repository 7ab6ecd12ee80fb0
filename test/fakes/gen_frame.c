/* Frames: msgpack behind a length. */
#include "kernel/link.h"
#include "test/fakes/gen.h"

#define FIELDS_MAX 24
#define SHORT_BYTES 64
/* All types of frames between nodes and control processes, and a few that do not exist. */
#define FRAME_TYPES 28

/* What no sound frame contains: containers, extensions, and lengths beyond the end. */
static const struct {
	u32 len;
	const char *bytes;
} odd_fields[] = {
	{ 1, "\xc0" },
	{ 1, "\xc1" },
	{ 1, "\x90" },
	{ 1, "\x80" },
	{ 3, "\x92\x01\x02" },
	{ 3, "\x81\x01\x02" },
	{ 5, "\xdd\xff\xff\xff\xff" },
	{ 5, "\xdf\x7f\xff\xff\xff" },
	{ 5, "\xdb\xff\xff\xff\xff" },
	{ 5, "\xc6\xff\xff\xff\xff" },
	{ 6, "\xc9\xff\xff\xff\xff\x01" },
	{ 9, "\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00" },
	{ 9, "\xd3\x80\x00\x00\x00\x00\x00\x00\x00" },
	{ 2, "\xd9\xff" },
};

static void put_nested(struct rng *r, struct frame_out *f)
{
	static const u32 levels[] = { 1, 32, 1000, 100000 };
	u32 n = GEN_PICK(r, levels);

	while (n--)
		msgpack_pack_array(&f->pk, 1);
	msgpack_pack_nil(&f->pk);
}

static void put_odd_field(struct rng *r, struct frame_out *f)
{
	u32 i = rng_below(r, G_N_ELEMENTS(odd_fields) + 1);

	if (i == G_N_ELEMENTS(odd_fields))
		put_nested(r, f);
	else
		msgpack_sbuffer_write(&f->buf, odd_fields[i].bytes, odd_fields[i].len);
}

void gen_frame_field(struct rng *rng, struct frame_out *f)
{
	char bytes[SHORT_BYTES];
	u32 len = rng_below(rng, sizeof(bytes));

	for (u32 i = 0; i < len; i++)
		bytes[i] = (char)('!' + rng_below(rng, 90));
	switch (rng_below(rng, 6)) {
	case 0:
		frame_put_u64(f, rng_below(rng, 4));
		break;
	case 1:
		frame_put_u64(f, rng_next(rng));
		break;
	case 2:
		frame_put_i64(f, -(i64)rng_below(rng, 1000));
		break;
	case 3:
		frame_put_bool(f, rng_below(rng, 2));
		break;
	case 4:
		bytes[len] = 0;
		frame_put_str(f, bytes);
		break;
	default:
		frame_put_bin(f, bytes, len);
		break;
	}
}

void gen_frame(struct rng *r, GString *out)
{
	FRAME_AUTO(f, LINK_TYPE_FIRST - 4 + rng_below(r, FRAME_TYPES));
	gsize at = out->len;

	for (u32 n = rng_below(r, FIELDS_MAX); n; n--)
		gen_frame_field(r, &f);
	if (gen_one_in(r, 4))
		put_odd_field(r, &f);
	g_string_append_len(out, f.buf.data, (gssize)frame_end(&f));
	/* The first bytes are the length. */
	if (gen_one_in(r, 16))
		out->str[at + rng_below(r, FRAME_HEADER_BYTES)] = (char)rng_next(r);
}
