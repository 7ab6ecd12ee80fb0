/*
 * dir_entry - what a node announces of itself and of its upstream
 *
 * One writer, the node: of two entries of a node the one with the higher
 * (incarnation, version) is the newer one.
 *
 * SOURCE wire/dir_entry.c
 */
#ifndef DIR_ENTRY_H
#define DIR_ENTRY_H

#include "lib/frame.h"
#include "lib/types.h"

enum dir_state {
	DIR_NO_UPSTREAM = 1, /* the node runs, its upstream has not announced itself */
	DIR_UP,
	DIR_DRAINING,
	DIR_GONE, /* the node left or was not heard of for the time to live */
};

struct dir_entry {
	char *node; /* ADDRESS:PEER_PORT */
	char *zone;
	char *region;
	u64 incarnation;
	u64 version;
	enum dir_state state;
	char *service; /* "" without an upstream */
	u32 slots;
	u32 connections;
};

void dir_entry_put(struct frame_out *f, const struct dir_entry *e);

/* dir_entry_get - fill E with new strings; the frame's error is set on a bad field. */
void dir_entry_get(struct frame_in *in, struct dir_entry *e);
void dir_entry_copy(struct dir_entry *to, const struct dir_entry *from);
void dir_entry_clear(struct dir_entry *e);

/* dir_entry_is_newer - true when A supersedes B. */
bool dir_entry_is_newer(const struct dir_entry *a, const struct dir_entry *b);

const char *dir_state_name(enum dir_state state);

#endif
