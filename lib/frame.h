/*
 * frame - length-prefixed messages, fields coded with msgpack
 *
 * A frame is a 32-bit big-endian payload length and the payload: a flat
 * sequence of msgpack scalars, the first being the frame type. Nested values
 * are refused, so decoding never takes memory that the frame did not bring.
 *
 * SOURCE lib/frame.c
 */
#ifndef FRAME_H
#define FRAME_H

#include "lib/types.h"

#include <msgpack.h>

#define FRAME_MAX_BYTES (16 * 1024 * 1024)
#define FRAME_HEADER_BYTES 4

/* A frame being written. */
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

/* frame_end - fill in the length; returns the whole frame's length in bytes. */
size_t frame_end(struct frame_out *o);
void frame_free(struct frame_out *o);

/* FRAME_AUTO - declare a frame that is freed when the scope ends. */
#define FRAME_AUTO(name, type)                                                                     \
	__attribute__((cleanup(frame_free))) struct frame_out name = { 0 };                        \
	frame_begin(&(name), (type))

/* A payload being read; err is set at the first field that does not fit, and later reads give 0. */
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

/* frame_get_str - a new string to be freed with g_free; "" after an error. */
char *frame_get_str(struct frame_in *in, size_t max_len);

/* frame_get_bin - a pointer into the payload and its length; NULL after an error. */
const void *frame_get_bin(struct frame_in *in, size_t *len);

/*
 * frame_get_count - a list length, at most MAX and no more than the bytes
 * left could hold; 0 after an error.
 */
u32 frame_get_count(struct frame_in *in, u32 max);

/* frame_done - 0 when all fields were read without error and nothing is left, else ERR_INVAL. */
int frame_done(const struct frame_in *in);

#endif
