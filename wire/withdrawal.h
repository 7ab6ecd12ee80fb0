/*
 * withdrawal - how far a node has acknowledged that its upstream takes no more calls
 *
 * It covers the announcements of an instance that were sent before: those of an earlier start, and
 * of the same start up to a sequence number. The directory keeps the newest one of each node, which
 * knows nothing of it after a restart, while an announcement that it covers may still arrive.
 *
 * SOURCE wire/withdrawal.c
 */
#ifndef WITHDRAWAL_H
#define WITHDRAWAL_H

#include "lib/frame.h"
#include "lib/types.h"

struct withdrawal {
	char *instance; /* NULL if there is none */
	u64 start_ms; /* of the instance, by the time of day; it may have started before */
	u64 sequence;
};

/* withdrawal_set - W is that of INSTANCE, of a start at START_MS, up to SEQUENCE */
void withdrawal_set(struct withdrawal *w, const char *instance, u64 start_ms, u64 sequence);
void withdrawal_clear(struct withdrawal *w);

/* withdrawal_covers - whether an announcement of INSTANCE is one that W supersedes */
bool withdrawal_covers(const struct withdrawal *w, const char *instance, u64 start_ms,
		       u64 sequence);

/* withdrawal_merge - W becomes OTHER if that is newer; returns whether it did */
bool withdrawal_merge(struct withdrawal *w, const struct withdrawal *other);

/* withdrawal_put - encode W */
void withdrawal_put(struct frame_out *f, const struct withdrawal *w);

/* withdrawal_get - decode into W, with a new string; a bad field sets the error of IN */
void withdrawal_get(struct frame_in *in, struct withdrawal *w);

#endif
