/*
 * gen - random input in the grammars that a process reads: JSON, HTTP and frames
 *
 * Most of what is generated is sound but for one place or two, so that it gets past the first check
 * of whoever reads it. The same random numbers give the same bytes.
 *
 * UNITS bytes
 * SOURCE test/fakes/gen.c (JSON), test/fakes/gen_http.c, test/fakes/gen_frame.c
 */
#ifndef GEN_H
#define GEN_H

#include "lib/frame.h"
#include "lib/rng.h"

#include <glib.h>

/* gen_one_in - returns true once in N times. */
static inline bool gen_one_in(struct rng *r, u32 n)
{
	return !rng_below(r, n);
}

#define GEN_PICK(r, table) ((table)[rng_below((r), G_N_ELEMENTS(table))])

/* gen_set - appends a set with this version, spoilt or not. */
void gen_set(struct rng *r, GString *out, u64 version);
/* gen_service - appends a service whose name and host no sound caller uses, spoilt or not. */
void gen_service(struct rng *r, GString *out);
/* gen_announcement - appends what an upstream announces, of a service that nobody declares. */
void gen_announcement(struct rng *r, GString *out);

/* gen_mutate - changes, drops or repeats a few bytes. */
void gen_mutate(struct rng *r, GString *text);

/*
 * gen_requests - appends up to four requests for HOST, one behind the other. Their targets are
 * drawn from the product's own interfaces and from those of callers.
 */
void gen_requests(struct rng *r, GString *out, const char *host);

/* gen_answer - appends what an upstream may write after a request: no answer, one, or more. */
void gen_answer(struct rng *r, GString *out);

/* gen_frame_field - adds a field of any type that a sound frame may have. */
void gen_frame_field(struct rng *r, struct frame_out *f);

/* gen_frame - appends one frame of any type. */
void gen_frame(struct rng *r, GString *out);

#endif
