/*
 * spell - how long the VM of an upstream stays slow, as learned from the last times
 *
 * A state machine: the time comes with each call. A spell begins when the VM
 * is told to be slow and ends when it is told to be near its usual speed.
 *
 * UNITS microseconds
 * SOURCE node/spell.c
 */
#ifndef SPELL_H
#define SPELL_H

#include "lib/types.h"

/* From this slowness on a VM counts as slow. */
#define SPELL_SLOW_PERCENT 300
/* Spells that are remembered. */
#define SPELL_LENGTHS 16

struct spell {
	u64 lengths_us[SPELL_LENGTHS];
	u32 n; /* spells seen; the last SPELL_LENGTHS of them are remembered */
	u64 since_us; /* the present spell; 0 while the VM is not slow */
};

/* spell_note - what is told of the VM now. */
void spell_note(struct spell *s, u32 slowness_percent, u64 now_us);

/*
 * spell_left_us - the mean rest of the remembered spells that lasted longer than the present
 * one has; of a spell longer than all of them, as long as it has lasted. 0 without a spell.
 */
u64 spell_left_us(const struct spell *s, u64 now_us);

#endif
