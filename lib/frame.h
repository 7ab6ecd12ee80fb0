/*
 * frame - length-prefixed messages with msgpack-encoded fields
 *
 * A frame is a 32-bit big-endian payload length followed by the payload: a flat
 * sequence of msgpack scalars, the first of which is the frame type. Nested
 * values are rejected, so decoding never allocates more than the frame's size.
 *
 * SOURCE lib/frame.c
 */
#ifndef FRAME_H
#define FRAME_H

#include "lib/types.h"

#include <msgpack.h>

#define FRAME_MAX_BYTES (16 * 1024 * 1024)
#define FRAME_HEADER_BYTES 4

/* A frame that is being written. */
struct frame_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

void frame_begin(struct frame_out *o, u32 type);
void frame_put_u64(struct frame_out *o, u64 v);
void frame_put_i64(struct frame_out *o, i64 v);
void frame_put_bool(struct frame_out *o, bool v);
void frame_put_str(struct frame_out *o, const char *s);
void frame_put_bin(struct frame_out *o, const void *p, size_t len);

/* frame_end - fills in the length prefix; returns the length of the whole frame in bytes. */
size_t frame_end(struct frame_out *o);
void frame_free(struct frame_out *o);

/* FRAME_AUTO - declares a frame that is freed at the end of the scope. */
#define FRAME_AUTO(name, type)                                                                     \
	__attribute__((cleanup(frame_free))) struct frame_out name = { 0 };                        \
	frame_begin(&(name), (type))

/* A payload that is being read. The first malformed field sets err; later reads return 0. */
struct frame_in {
	const char *data;
	size_t len;
	size_t off;
	int err;
};

void frame_in_init(struct frame_in *in, const void *payload, size_t len);
u64 frame_get_u64(struct frame_in *in);
i64 frame_get_i64(struct frame_in *in);
bool frame_get_bool(struct frame_in *in);

/* frame_get_str - returns a new string, to be freed with g_free; "" after an error. */
char *frame_get_str(struct frame_in *in, size_t max_len);

/* frame_get_bin - returns a pointer into the payload and sets *LEN; NULL after an error. */
const void *frame_get_bin(struct frame_in *in, size_t *len);

/*
 * frame_get_count - reads a list length; a value above MAX, or above the number of
 * remaining bytes, is an error. Returns 0 after an error.
 */
u32 frame_get_count(struct frame_in *in, u32 max);

/* frame_has_more - returns whether fields remain; false after an error. */
bool frame_has_more(const struct frame_in *in);

/* frame_done - returns 0 if the whole payload was read without error, else ERR_INVAL. */
int frame_done(const struct frame_in *in);

#endif
