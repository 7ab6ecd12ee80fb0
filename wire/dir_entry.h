/*
 * dir_entry - the directory entry that a node publishes for itself and its upstream
 *
 * Only the node writes its entry. Of two entries for the same node, the one with the
 * higher (incarnation, version) is newer.
 *
 * SOURCE wire/dir_entry.c
 */
#ifndef DIR_ENTRY_H
#define DIR_ENTRY_H

#include "lib/frame.h"
#include "lib/types.h"

enum dir_state {
	DIR_NO_UPSTREAM = 1, /* the node runs, but its upstream has not announced itself */
	DIR_UP,
	DIR_DRAINING,
	DIR_GONE, /* the node left, or its entry was not renewed within the time to live */
};

struct dir_entry {
	char *node; /* ADDRESS:PEER_PORT */
	char *zone;
	char *region;
	u64 incarnation;
	u64 version;
	enum dir_state state;
	char *service; /* "" if there is no upstream */
	u32 slots;
	u32 connections;
};

/* dir_entry_put - encode E */
void dir_entry_put(struct frame_out *f, const struct dir_entry *e);

/* dir_entry_get - decode into E, with new strings; a bad field sets the error of IN */
void dir_entry_get(struct frame_in *in, struct dir_entry *e);
void dir_entry_copy(struct dir_entry *to, const struct dir_entry *from);
void dir_entry_clear(struct dir_entry *e);

/* dir_entry_is_newer - return whether A supersedes B */
bool dir_entry_is_newer(const struct dir_entry *a, const struct dir_entry *b);

const char *dir_state_name(enum dir_state state);

#endif
